import { expect } from "chai";
import { spawn } from "node:child_process";

describe("log output", () => {
    // Whoever reads the log stops reading. A process that waited for it would answer nobody; one that kept every line would run out of
    // memory. It goes on, leaves lines out, and says how many once it is read again.
    it("never waits for a reader that has stopped, and tells what it left out", async () => {
        const child = spawn(process.execPath, ["--import", "tsx", "test/fixtures/chatty.ts"], { stdio: ["ignore", "pipe", "pipe"] });
        child.stdout.pause();
        const told = await new Promise<string>(resolve => child.stderr.on("data", chunk => /rounds/.test(String(chunk)) && resolve(String(chunk))));
        const { rounds, leftOut } = JSON.parse(told) as { rounds: number; leftOut: number };
        expect(rounds).to.equal(20);
        expect(leftOut).to.be.above(1_000);
        let text = "";
        const closed = new Promise<void>(resolve => child.on("close", () => resolve()));
        child.stdout.on("data", chunk => {
            text += String(chunk);
        });
        child.stdout.resume();
        await closed;
        expect(text).to.match(/left out \d+\n/);
        expect(text.length).to.be.below(2_000_000);
    });
});
