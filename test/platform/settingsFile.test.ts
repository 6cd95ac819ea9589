import { execFileSync, spawn } from "node:child_process";
import { mkdtempSync, readFileSync, renameSync, rmSync } from "node:fs";
import { open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { createSiteProcesses, type SiteProcesses } from "../../standin/platform/index.js";
import { waitUntil } from "../support/platformSite.js";

describe("a daemon of a published site and its settings file", () => {
    let folder: string;
    let site: SiteProcesses;
    const id = "entry-0";
    const hasLogged = (text: string) => site.output(id).includes(text);
    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "settings-"));
        site = createSiteProcesses({ folder, controls: 1, entries: 1, net: 91, port: 27_100 });
    });
    afterEach(async () => {
        await site.stop();
        rmSync(folder, { recursive: true, force: true });
    });

    // Guards against a process that ends because its settings file is missing while it is replaced.
    it("runs on while the file is missing, and states that in its log and metrics", async () => {
        site.start(id);
        await waitUntil("the entry has started", () => hasLogged("\"started\""));
        const file = join(folder, `${id}.ini`);
        renameSync(file, `${file}.away`);
        await waitUntil("the missing file is logged", () => hasLogged("settings file can't be used"));
        const metrics = () => fetch(`http://${site.metricsAddress(site.entries[0]!)}/`).then(response => response.text());
        expect(await metrics()).to.match(/^zinnialanding_settings_file_unusable\S* 1$/m);
        renameSync(`${file}.away`, file);
        await waitUntil("the file is read again", () => hasLogged("settings file can be used again"));
        expect([site.isRunning(id), /^zinnialanding_settings_file_unusable\S* 0$/m.test(await metrics())]).to.deep.equal([true, true]);
    });

    // Guards against a process that ends at once, or drops a signal, because it comes while the process starts.
    it("follows a SIGHUP and a SIGTERM that come during its start after it", async () => {
        site.start(id);
        await site.signal(id, "SIGKILL");
        const file = join(folder, `${id}.ini`);
        const settings = readFileSync(file);
        // Reading the settings from a pipe keeps the process at its start until they are written.
        const pipe = join(folder, "pipe");
        execFileSync("mkfifo", [pipe]);
        const daemon = spawn(process.execPath, ["dist/platform/main.js"], {
            env: { ...process.env, ZINNIALANDING_NODE_FILE: pipe }, stdio: ["ignore", "pipe", "inherit"],
        });
        let output = "";
        daemon.stdout.on("data", chunk => output += String(chunk));
        const exited = new Promise(resolve => daemon.once("exit", (code, signal) => resolve(code ?? signal)));
        const reader = await open(pipe, "w");
        daemon.kill("SIGHUP");
        daemon.kill("SIGTERM");
        renameSync(file, pipe);
        await reader.writeFile(settings);
        await reader.close();
        expect(await exited).to.equal(0);
        expect(output).to.include("\"stopped\"");
    });
});
