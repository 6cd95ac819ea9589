import { expect } from "chai";
import { connect } from "node:net";
import { createEntryHttp, type EntryHttp } from "../../src/entry/http.js";
import type { Runner } from "../../src/entry/runner.js";
import type { Session } from "../../src/session/index.js";

describe("the callers' listener", () => {
    let entry: EntryHttp;

    before(async () => {
        const nothing = () => {
            throw new Error("no request gets this far");
        };
        entry = await createEntryHttp({
            listen: "127.0.0.1:0", maxBodyBytes: 1_000, headerTimeoutMs: 200, session: nothing as () => Session,
            runner: {} as Runner, ready: () => true,
        });
    });

    after(() => entry.stop());

    // A caller sends half of its headers and nothing more. Its connection would be held open for good, and a thousand such callers
    // would leave no descriptor for others: it is told 408 and cut off.
    it("cuts off a caller that does not send its headers", async () => {
        const [host, port] = entry.address.split(":");
        const text = await new Promise<string>((resolve, reject) => {
            const socket = connect(Number(port), host!);
            let answer = "";
            socket.on("data", chunk => answer += String(chunk));
            socket.on("close", () => resolve(answer));
            socket.on("error", reject);
            socket.write("POST /v1/completions HTTP/1.1\r\nHost: half");
        });
        expect(text).to.match(/^HTTP\/1\.1 408 /);
    });
});
