import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createSendQueue } from "../../src/consensus/sendQueue.js";
import { ConsensusEnvelopeSchema } from "../../src/rpc/gen/zinnialanding/v1/consensus_pb.js";

const envelope = (bytes: number) => create(ConsensusEnvelopeSchema, { from: "a", to: "b", message: new Uint8Array(bytes) });

describe("messages queued for another voter", () => {
    // Guards against a voter that runs out of memory by large messages to one that reads slowly.
    it("are dropped while the queued ones exceed the limit in bytes, and taken again once they are read", async () => {
        const queue = createSendQueue({ maxQueuedMessages: 1_000, maxQueuedBytes: 250 });
        const read = queue.read();
        const readBytes = async () => ((await read.next()).value as ReturnType<typeof envelope>).message.byteLength;
        Array.from({ length: 10 }, () => queue.push(envelope(100)));
        expect([await readBytes(), await readBytes(), await readBytes()]).to.deep.equal([100, 100, 100]);
        [1_000, 100].forEach(bytes => queue.push(envelope(bytes)));
        expect(await readBytes()).to.equal(1_000);
        queue.push(envelope(10));
        expect(await readBytes()).to.equal(10);
        queue.close();
        expect((await read.next()).done).to.equal(true);
    });
});
