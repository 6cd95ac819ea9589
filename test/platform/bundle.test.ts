import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { existsSync, rmSync, writeFileSync } from "node:fs";

const cache = "target/zinnialanding.cache";

/** Starts the bundled program without settings: it says so, and ends. */
function start(...flags: string[]) {
    const { status, stderr } = spawnSync(process.execPath, [...flags, "target/start.mjs"], { env: { PATH: process.env.PATH }, encoding: "utf8" });
    return [status, stderr];
}

describe("the bundled program", () => {
    const said = [3, "ZINNIALANDING_NODE_FILE names no settings file\n"];

    before(() => {
        const { status, stderr } = spawnSync(process.execPath, ["scripts/bundle.js"], { encoding: "utf8" });
        expect([status, stderr]).to.deep.equal([0, ""]);
    });

    after(() => rmSync(cache, { force: true }));

    it("starts from its code cache", () => {
        expect(existsSync(cache)).to.equal(true);
        expect(start("--max-old-space-size=180")).to.deep.equal(said);
    });

    // Another version of Node.js, or other flags, on the machine that runs it: what was compiled does not fit. It starts, more slowly.
    it("starts without a code cache that fits", () => {
        expect(start("--max-old-space-size=98")).to.deep.equal(said);
        writeFileSync(cache, "not a cache");
        expect(start("--max-old-space-size=180")).to.deep.equal(said);
    });
});
