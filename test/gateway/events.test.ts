import { expect } from "chai";
import * as fc from "fast-check";
import { createEventSplitter } from "../../src/gateway/events.js";
import { measureHeldBytes } from "../support/heldBytes.js";

const pieces = fc.array(fc.constantFrom("data: a", "id: 7", "\n", "\r\n", "\n\n", "\r", ":", "\n\r\n"), { maxLength: 40 });

/** The offset after the last blank line of a text. */
function endOfLastEvent(text: string): number {
    const end = [...text.matchAll(/(?<=\n\r?\n)/g)].at(-1)?.index;
    return end ?? 0;
}

describe("the splitter of events", () => {
    // Guards against an event that is lost, doubled or cut because its end is spread over chunks.
    it("forwards the events that are complete after each chunk, wherever the chunks are cut", () => {
        fc.assert(fc.property(pieces, fc.array(fc.integer({ min: 1, max: 5 }), { minLength: 1 }), (texts, cuts) => {
            const text = texts.join("");
            const splitter = createEventSplitter();
            let forwarded = "";
            let partial = "";
            for (let offset = 0, cut = 0; offset < text.length; cut++) {
                const piece = text.slice(offset, offset + cuts[cut % cuts.length]!);
                offset += piece.length;
                const end = endOfLastEvent(partial + piece);
                const complete = (partial + piece).slice(0, end);
                partial = (partial + piece).slice(end);
                expect(splitter.push(Buffer.from(piece)).toString()).to.equal(complete);
                expect(splitter.partialBytes).to.equal(partial.length);
                expect(splitter.isAtBoundary).to.equal(partial === "");
                forwarded += complete;
            }
            expect(splitter.lastId).to.equal([...forwarded.matchAll(/(?:^|\n)id:[ ]?([^\r\n]*)/g)].at(-1)?.[1]);
        }), { seed: 1, numRuns: 2_000 });
    });

    // Guards against an event without end that costs a multiple of its bytes because it comes in small pieces.
    it("holds little more than the bytes of an event in single bytes", () => {
        const splitter = createEventSplitter();
        const bytes = Buffer.from("a".repeat(1_048_576));
        const heldBefore = measureHeldBytes();
        bytes.forEach((_, index) => splitter.push(bytes.subarray(index, index + 1)));
        expect(measureHeldBytes() - heldBefore).to.be.below(8_388_608);
        expect(splitter.partialBytes).to.equal(1_048_576);
    });

    // Guards against work that grows with the square of an event without end: it took minutes, during which the entry served nobody.
    it("takes an event without end in many chunks", () => {
        const splitter = createEventSplitter();
        const chunk = Buffer.from("a".repeat(64));
        for (let count = 0; count < 131_072; count++) {
            splitter.push(chunk);
        }
        expect(splitter.partialBytes).to.equal(8_388_608);
        expect(splitter.push(Buffer.from("\n\nb")).length).to.equal(8_388_610);
    });
});
