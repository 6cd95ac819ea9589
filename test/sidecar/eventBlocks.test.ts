import { expect } from "chai";
import * as fc from "fast-check";
import { createBlockSplitter } from "../../src/sidecar/eventBlocks.js";
import { measureHeldBytes } from "../support/heldBytes.js";

describe("the splitter of an engine's events", () => {
    // Guards against an event that is lost, doubled or cut because its end is spread over chunks.
    it("returns the same blocks however the text is cut", () => {
        const pieces = fc.array(fc.constantFrom("data: a", "\n", "\n\n", "b"), { maxLength: 40 });
        fc.assert(fc.property(pieces, fc.array(fc.nat(5), { minLength: 1 }), (texts, cuts) => {
            const text = texts.join("");
            const splitter = createBlockSplitter();
            const blocks: string[] = [];
            for (let offset = 0, cut = 0; offset < text.length; cut++) {
                const size = Math.max(cuts[cut % cuts.length]!, cut % 2);
                blocks.push(...splitter.push(text.slice(offset, offset + size)));
                offset += size;
            }
            const expected = text.split("\n\n");
            expect(splitter.partialChars).to.equal(expected.pop()!.length);
            expect(blocks).to.deep.equal(expected);
        }), { seed: 1, numRuns: 2_000 });
    });

    // Guards against an event without end that costs a multiple of its length because it comes in small pieces.
    it("holds little more than the text of an event in single characters", () => {
        const splitter = createBlockSplitter();
        const heldBefore = measureHeldBytes();
        for (let count = 0; count < 1_048_576; count++) {
            splitter.push("a");
        }
        expect(measureHeldBytes() - heldBefore).to.be.below(4_194_304);
        expect(splitter.partialChars).to.equal(1_048_576);
    });

    // Guards against work that grows with the square of an event without end, during which the sidecar serves nobody.
    it("takes an event without end in many chunks", () => {
        const splitter = createBlockSplitter();
        for (let count = 0; count < 131_072; count++) {
            splitter.push("a".repeat(64));
        }
        expect(splitter.partialChars).to.equal(8_388_608);
        expect(splitter.push("\n\nb")[0]).to.have.length(8_388_608);
    });
});
