import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import type { Socket } from "node:net";
import { RunRequestSchema } from "../../src/rpc/index.js";
import { createEngine, type Engine } from "../../src/sidecar/engine.js";
import type { UpstreamError } from "../../src/sidecar/upstream.js";
import { runUpstream } from "../../src/sidecar/upstream.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

/** One in so many cuts is tried; 1 tries all of them. */
const stride = Number(process.env["CUT_STRIDE"] ?? 5);
const cutsAtOnce = 32;

const plain = "0123456789";
const events = "data: a\n\ndata: b\n\ndata: [DONE]\n\n";
const stream = "Content-Type: text/event-stream\r\n";
const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const chunks = (body: string) => `Transfer-Encoding: chunked\r\n\r\n${toChunk(body.slice(0, 4))}${toChunk(body.slice(4))}0\r\n\r\n`;
const answers = [
    `HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n${plain}`, `HTTP/1.1 200 OK\r\n${chunks(plain)}`, `HTTP/1.1 200 OK\r\n\r\n${plain}`,
    `HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n${plain}`, `HTTP/1.0 200 OK\r\n\r\n${plain}`,
    `HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n${plain}`,
    `HTTP/1.1 200 OK\r\n${stream}${chunks(events)}`, `HTTP/1.1 200 OK\r\n${stream}\r\n${events}`,
];
const endings: Record<string, (socket: Socket) => void> = {
    ends: socket => socket.end(),
    "is reset": socket => setTimeout(() => socket.resetAndDestroy(), 10),
    "is reset with the last bytes": socket => socket.resetAndDestroy(),
};

interface Cut {
    readonly answer: string;
    readonly bytes: number;
    readonly ending: string;
    readonly isSplit: boolean;
}

const cuts = answers.flatMap(answer => Array.from({ length: answer.length + 1 }, (_, bytes) =>
    Object.keys(endings).flatMap(ending => [false, true].map((isSplit): Cut => ({ answer, bytes, ending, isSplit })))).flat())
    .filter((_, index) => index % stride === 0);

/** Returns the body that an entry may take for whole; undefined if there is none. */
function wholeBody({ answer, bytes, ending }: Cut): string | undefined {
    const isAll = bytes === answer.length;
    if (answer.includes(stream)) {
        return bytes >= answer.indexOf("[DONE]\n\n") + "[DONE]\n\n".length ? "ab" : undefined;
    }
    const isFramed = answer.includes("Content-Length") || answer.includes("chunked");
    const headBytes = answer.length - plain.length;
    const isWhole = isFramed ? isAll : bytes >= headBytes && ending === "ends";
    return isWhole ? plain.slice(0, isAll ? undefined : bytes - headBytes) : undefined;
}

describe("answers to a sidecar that are cut", () => {
    let upstream: RawUpstream;
    let engine: Engine;

    before(async () => {
        upstream = await startRawUpstream((request, socket) => void respond(Number(request.header("x-request-id")), socket));
        engine = createEngine(upstream.address, () => undefined);
    });

    after(async () => {
        engine.stop();
        await upstream.close();
    });

    async function respond(index: number, socket: Socket) {
        const { answer, bytes, ending, isSplit } = cuts[index] ?? { answer: "", bytes: 0, ending: "ends", isSplit: false };
        socket.setNoDelay();
        for (const packet of isSplit ? answer.slice(0, bytes) : [answer.slice(0, bytes)]) {
            socket.write(packet);
            await new Promise(resolve => setImmediate(resolve));
        }
        endings[ending]!(socket);
    }

    /** Returns the body of a whole answer, or whether the request may have run. */
    async function read(index: number): Promise<string | boolean> {
        const run = create(RunRequestSchema, { attemptId: String(index), method: "POST", path: "/orders" });
        let body = "";
        try {
            for await (const event of runUpstream(engine, run, AbortSignal.timeout(10_000))) {
                body += event.kind === "chunk" ? Buffer.from(event.data).toString() : "";
            }
            return body;
        }
        catch (error) {
            return (error as UpstreamError).mayHaveReached;
        }
    }

    // Guards against a part of an answer that is taken for whole, and against a request sent again that may have run.
    it("are not taken for whole, and may have run", async function () {
        this.timeout(600_000);
        const faults: object[] = [];
        let next = 0;
        await Promise.all(Array.from({ length: cutsAtOnce }, async () => {
            for (let index = next++; index < cuts.length; index = next++) {
                const got = await read(index);
                if (got !== (wholeBody(cuts[index]!) ?? true)) {
                    faults.push({ ...cuts[index], got });
                }
            }
        }));
        expect(faults).to.deep.equal([]);
    });
});
