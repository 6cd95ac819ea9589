import * as http2 from "node:http2";
import type { AddressInfo } from "node:net";
import { Readable } from "node:stream";
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import type { AddressedMessage } from "../../src/consensus/messages.js";
import { createTransport, defaultTransport, receive, type Transport } from "../../src/consensus/transport.js";
import { ConsensusEnvelopeSchema } from "../../src/rpc/gen/zinnialanding/v1/consensus_pb.js";
import { waitFor } from "../support/voters.js";

describe("links between voters", () => {
    let server: http2.Http2Server;
    let transport: Transport;
    let timer: NodeJS.Timeout;
    const sessions = new Set<http2.ServerHttp2Session>();
    afterEach(async () => {
        clearInterval(timer);
        transport.close();
        sessions.forEach(session => session.destroy());
        await new Promise(resolve => server.close(resolve));
    });

    // A peer answered pings on its connection without reading from the stream: two voters exchanged no messages, and no cluster formed.
    it("are reopened when nothing is read from the stream of an open connection", async () => {
        let streams = 0;
        server = http2.createServer();
        server.on("session", session => sessions.add(session));
        server.on("stream", stream => {
            stream.on("error", () => undefined);
            streams++;
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        transport = createTransport({ ...defaultTransport, voterId: "a", tls: undefined });
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const message: AddressedMessage = { from: { voterId: "a", diskId: "d".repeat(8_000) }, message: { kind: "timeout-now", term: 1 } };
        timer = setInterval(() => transport.send(address, "b", message), 20);
        await waitFor("a second stream", () => streams > 1);
        expect(streams).to.be.at.least(2);
    });
});

describe("links to addresses that can't be connected to", () => {
    // Guards against a voter that stops for good because of an address that another process or the settings state.
    it("lose their messages and no others", () => {
        const transport = createTransport({ ...defaultTransport, voterId: "a", tls: undefined });
        const message: AddressedMessage = { from: { voterId: "a", diskId: "d" }, message: { kind: "timeout-now", term: 1 } };
        for (const address of ["a^b:1", "h:99999", "1.2.3.400:5", "", "h h:1", "a^b:1"]) {
            expect(() => transport.send(address, "b", message), address).not.to.throw();
        }
        transport.close();
    });
});

describe("messages of other voters", () => {
    const from = { voterId: "b", diskId: "d" };
    const entry = (index: number, term = 2) => ({ index, term, payload: { kind: "no-op" } });
    const append = (entries: object[], fields: object = {}) => ({
        from,
        message: { kind: "append", clusterId: "c", term: 2, prevIndex: 4, prevTerm: 1, entries, commitIndex: 4, round: 1, sentAtMs: 1, ...fields },
    });
    const good = [append([]), append([entry(5, 1), entry(6)])];
    const odd: Record<string, unknown> = {
        "another format": "{", "a newer kind": { from, message: { kind: "later" } }, "a further field": { ...append([]), later: 1 },
        "a gap before the entries": append([entry(6)]), "a gap between entries": append([entry(5), entry(7)]),
        "entries of a later term": append([entry(5, 3)]), "entries of an earlier term": append([entry(5), entry(6, 1)]),
        "an address that can't be connected to": { from, message: { kind: "hello", empty: true, address: "a^b:1", voterIds: [] } },
        "a term without successor": append([], { term: Number.MAX_SAFE_INTEGER }), "deep nesting": `${"[".repeat(5_000)}${"]".repeat(5_000)}`,
    };
    for (const [label, message] of Object.entries(odd)) {
        // Guards against one message that ends the stream, with those behind it, or that leaves a log no voter can start from.
        it(`are lost one by one if they can't be read: ${label}`, async () => {
            const texts = [message, ...good, message].map(item => typeof item === "string" ? item : JSON.stringify(item));
            const envelopes = texts.map(text => create(ConsensusEnvelopeSchema, { from: "b", to: "a", message: Buffer.from(text) }));
            const [handled, unreadable]: [unknown[], string[]] = [[], []];
            const received = await receive(Readable.from(envelopes), {
                voterId: "a", onMessage: item => handled.push(item), onUnreadable: voterId => unreadable.push(voterId),
            });
            expect([handled, unreadable, received]).to.deep.equal([good, ["b"], 4n]);
        });
    }
});
