import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { parseKnownRed } from "./knownRed.js";

describe("continuous integration", () => {
    let folder: string;

    before(() => {
        folder = mkdtempSync(join(tmpdir(), "ci-"));
    });

    after(() => rmSync(folder, { recursive: true }));

    /** Runs a fixture as CI runs the suite; `knownRedList` is the content of KNOWN-RED.txt. */
    function runFixture(fixture: string, knownRedList: string, ci = "true") {
        const file = join(folder, "KNOWN-RED.txt");
        writeFileSync(file, knownRedList);
        const argv = ["node_modules/mocha/bin/mocha.js", "--no-config", "--import=tsx", "--file", "test/support/setup.ts", `test/fixtures/${fixture}`];
        const { status, stdout } = spawnSync(process.execPath, argv, { encoding: "utf8", env: { ...process.env, CI: ci, KNOWN_RED_FILE: file } });
        return { status, stdout };
    }

    it("fails on a missing snapshot and writes none", () => {
        expect(runFixture("snapshot.ts", "").status).to.equal(1);
        expect(existsSync("test/fixtures/__snapshots__")).to.equal(false);
    });

    it("skips and prints only the tests that are listed by their full titles", () => {
        const one = runFixture("red.ts", "fixture fails | cause | #1");
        const both = runFixture("red.ts", "fixture fails | cause | #1\nfixture fails too | cause | #2");
        expect([one.status, both.status]).to.deep.equal([1, 0]);
        expect(both.stdout).to.contain("KNOWN RED, not run: fixture fails | cause | #1").and.to.contain("fixture fails too | cause | #2");
        expect(one.stdout).to.contain("1 failing").and.to.contain("1 pending");
    });

    it("fails when a line names no test, and skips nothing outside CI", () => {
        const list = "fixture fails | cause | #1\nfixture fails too | cause | #2";
        expect(runFixture("red.ts", `${list}\nfixture fail | cause | #3`).status).not.to.equal(0);
        expect(runFixture("red.ts", list, "").status).to.equal(2);
    });

    it("rejects malformed lists", () => {
        expect(parseKnownRed("# none\n\n")).to.deep.equal([]);
        expect(() => parseKnownRed("title | cause")).to.throw("expected");
        expect(() => parseKnownRed("t | c | 1\nt | c | 2")).to.throw("twice");
        expect(() => parseKnownRed("a | c | 1\nb | c | 1\nc | c | 1\nd | c | 1")).to.throw("3 at most");
        expect(() => parseKnownRed("title | cause | none")).to.throw("number of the issue");
        expect(() => parseKnownRed("script: scripts/missing.sh | c | 1")).to.throw("no script");
        expect(() => parseKnownRed("soak: some | c | 1")).to.throw("a seed");
    });

    it("prints listed scripts and seeds of the soak, and runs none of them", () => {
        const list = "script: scripts/test.sh | cause | 1\nsoak: 7 | cause | 2\nfixture fails | cause | 3\nfixture fails too | cause | 4";
        const { status, stdout } = runFixture("red.ts", list);
        expect(status).to.equal(0);
        expect(stdout).to.contain("run by hand: script scripts/test.sh | cause | 1").and.to.contain("run by hand: soak 7 | cause | 2");
    });
});
