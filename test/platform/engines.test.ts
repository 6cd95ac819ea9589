import { expect } from "chai";
import { createEngineClient } from "../../platform/engines.js";
import { createUpstream } from "../support/gatewaySite.js";
import { pourInto, type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

/** Beside what the client holds, the sockets in between have room for some. */
const maxTakenBytes = 16 * 1_048_576;

describe("the engine client", () => {
    let engine: RawUpstream;

    afterEach(() => engine.close());

    async function start(head: string) {
        engine = await startRawUpstream((_request, socket) => socket.write(`HTTP/1.1 ${head}\r\nContent-Length: 2\r\n\r\n{}`));
        const { heardAgoMs, ...relayed } = createUpstream(engine.address, "u1");
        return { ...relayed, heardAtMs: -heardAgoMs, coldUntilMs: 0 };
    }

    // Guards against a control leader that probes and orders on although the engine has asked it not to, or doesn't see that it leaves.
    it("reads what answers to probes and orders state about the engine", async () => {
        const upstream = await start("503 Busy\r\nRetry-After: 3\r\nServer-Leaving: 1");
        const client = createEngineClient();
        const signals = { load: undefined, limitPerSecond: undefined, coldForMs: undefined, pushbackMs: 3_000, isLeaving: true };
        expect(await client.probe(upstream)).to.deep.equal({ outcome: "answered", signals });
        expect(await client.order(upstream, { kind: "stage", model: "lm" })).to.deep.equal({ outcome: "503 {}", signals });
    });

    it("takes nothing from the answer of another upstream at the address", async () => {
        const upstream = await start("421 Misdirected\r\nServer-Leaving: 1");
        expect(await createEngineClient().probe(upstream)).to.deep.equal({ outcome: "refused", signals: undefined });
    });

    // Guards against a control daemon that ends for want of memory, or holds its planning up, by an answer that never ends.
    it("gives up an answer without end", async () => {
        const taken: (() => number)[] = [];
        engine = await startRawUpstream((_request, socket) => {
            socket.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n");
            taken.push(pourInto(socket));
        });
        const { heardAgoMs, ...relayed } = createUpstream(engine.address, "u1");
        const upstream = { ...relayed, heardAtMs: -heardAgoMs, coldUntilMs: 0 };
        const client = createEngineClient();
        expect(await client.probe(upstream)).to.deep.equal({ outcome: "silent", signals: undefined });
        expect(await client.inquire(upstream, "/health")).to.deep.equal({ kind: "unusable", reason: "no answer" });
        expect(await client.order(upstream, { kind: "stage", model: "lm" }).catch(({ name }: Error) => name)).to.equal("BodyTooLargeError");
        taken.forEach(bytes => expect(bytes()).to.be.below(maxTakenBytes));
    });

    // Guards against the use of a restarted daemon's remembered upstream by an answer that is not its own or is not a report.
    it("asks an upstream for its report, and a plain one for its health", async () => {
        const report = { born: 9, domain: 3, staged: ["lm"], group: { name: "lm/2", epoch: 2, rank: 1, state: "open", more: 1 }, seq: 4, busy: 0 };
        const bodies = [JSON.stringify(report), JSON.stringify({ ...report, group: { name: "lm/2" } }), "{\"born\":", "ok"];
        const heads = ["200 OK", "200 OK", "200 OK", "200 OK\r\nZinnialanding-Served-By: u1", "421 Misdirected", "503 Busy\r\nRetry-After: 2"];
        engine = await startRawUpstream((_request, socket, index) => {
            const body = bodies[index] ?? "";
            socket.write(`HTTP/1.1 ${heads[index]}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
        });
        const client = createEngineClient();
        const answers = [];
        for (const healthPath of [undefined, undefined, undefined, "/health", undefined, undefined]) {
            const { signals, ...answer } = await client.inquire({ id: "u1", address: engine.address }, healthPath);
            answers.push({ ...answer, pushbackMs: signals?.pushbackMs });
        }
        const own = { bornMs: 9, domain: "3", stagedModels: ["lm"], group: { name: "lm/2", epoch: 2, rank: 1, state: "open" }, revision: 4 };
        expect(answers).to.deep.equal([
            { kind: "report", report: own, pushbackMs: undefined },
            { kind: "unusable", reason: "unreadable report", pushbackMs: undefined },
            { kind: "unusable", reason: "unreadable report", pushbackMs: undefined },
            { kind: "healthy", id: "u1", pushbackMs: undefined },
            { kind: "unusable", reason: "status 421", pushbackMs: undefined },
            { kind: "unusable", reason: "status 503", pushbackMs: 2_000 },
        ]);
        expect(engine.requests.map(request => [request.head.split(" ")[1], request.header("Zinnialanding-Target-Instance")]))
            .to.deep.equal(["/api/report", "/api/report", "/api/report", "/health", "/api/report", "/api/report"].map(path => [path, "u1"]));
    });
});
