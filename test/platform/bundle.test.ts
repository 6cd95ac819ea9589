import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, rmSync, writeFileSync } from "node:fs";

const cacheFile = "target/zinnialanding.cache";
/** Above the longest text constants; Node.js reads lines of this length in no time. */
const maxLineChars = 2_000;

/** Starts the bundled program without a settings file, which makes it print an error and exit. Returns its exit code and stderr. */
function startProgram(...flags: string[]) {
    const { status, stderr } = spawnSync(process.execPath, [...flags, "target/start.mjs"], { env: { PATH: process.env.PATH }, encoding: "utf8" });
    return [status, stderr];
}

describe("the bundled program", () => {
    const missingSettingsResult = [3, "ZINNIALANDING_NODE_FILE names no settings file\n"];

    before(() => {
        const { status, stderr } = spawnSync(process.execPath, ["scripts/bundle.js"], { encoding: "utf8" });
        expect([status, stderr]).to.deep.equal([0, ""]);
    });

    after(() => rmSync(cacheFile, { force: true }));

    it("starts from its code cache", () => {
        expect(existsSync(cacheFile)).to.equal(true);
        expect(startProgram("--max-old-space-size=180")).to.deep.equal(missingSettingsResult);
    });

    // Guards against a failed assertion that hangs the program: Node.js parses its source line to describe it.
    it("has no long lines", () => {
        const lengths = readFileSync("target/zinnialanding.cjs", "latin1").split("\n").map(line => line.length);
        expect(Math.max(...lengths)).to.be.below(maxLineChars);
    });

    // The cache does not match another version of Node.js or other flags. The program must then start without it, if more slowly.
    it("starts when the code cache does not match", () => {
        expect(startProgram("--max-old-space-size=98")).to.deep.equal(missingSettingsResult);
        writeFileSync(cacheFile, "not a cache");
        expect(startProgram("--max-old-space-size=180")).to.deep.equal(missingSettingsResult);
    });
});
