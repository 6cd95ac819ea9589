import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createSiteProcesses } from "../../standin/platform/index.js";
import { waitUntil } from "../support/platformSite.js";

/** Runs `statement` in a daemon that gets SIGUSR2. */
function breakWith(statement: string): readonly string[] {
    return ["--import", `data:text/javascript,${encodeURIComponent(`process.once("SIGUSR2", () => { ${statement}; });`)}`];
}

describe("a daemon that ends by itself", () => {
    const folder = mkdtempSync(join(tmpdir(), "ending-"));
    const processes = createSiteProcesses({ folder, controls: 1, entries: 1, net: 91, port: 23_300 });

    after(async () => {
        await processes.stop();
        rmSync(folder, { recursive: true });
    });

    const cases = {
        "an exception": ["control-0", "throw new Error('broken')", "uncaughtException"],
        "a rejected promise": ["entry-0", "Promise.reject(new Error('broken'))", "unhandledRejection"],
    } as const;
    for (const [cause, [daemonId, statement, origin]] of Object.entries(cases)) {
        // Guards against an end whose log looks like that of a killed process.
        it(`says in its log that ${cause} ended it`, async () => {
            processes.start(daemonId, { firstStart: true, execArgv: breakWith(statement) });
            await waitUntil("the daemon has started", () => processes.hasStarted(daemonId));
            await processes.signal(daemonId, "SIGUSR2");
            await waitUntil("the daemon has ended", () => !processes.isRunning(daemonId));
            const line = processes.log(daemonId).split("\n").find(text => text.includes("ending because of an exception"));
            const { timestamp, error, ...rest } = JSON.parse(line!) as Record<string, string>;
            expect(timestamp).to.be.a("string");
            expect(error).to.match(/^Error: broken\n +at /);
            expect(rest).to.deep.equal({ daemonId, level: "error", message: "ending because of an exception", origin });
        });
    }
});
