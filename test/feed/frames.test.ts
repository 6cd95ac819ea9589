import { expect } from "chai";
import * as fc from "fast-check";
import { decodeFrame, decodeReport, type Report } from "../../src/feed/index.js";
import { createUpstream } from "../support/gatewaySite.js";

const encode = (value: unknown) => Buffer.from(JSON.stringify(value));
const sound = createUpstream("10.0.0.1:80", "u1");
const limit = { upstreamId: "u1", bornMs: 1, perSecond: 2, agoMs: 3 };

describe("the lists of frames and reports", () => {
    // Guards against one odd item that makes everything else in its message unusable, each time that it is relayed.
    it("lose the items that can't be read, and no others", () => {
        const lists: Record<string, readonly [field: string, good: object, odd: unknown]> = {
            upstreams: ["upstreams", sound, { ...sound, address: "a/b:80" }],
            heard: ["heard", { id: "u1", agoMs: 5 }, { id: "u1", agoMs: -1e300 }],
            limits: ["limits", limit, { ...limit, perSecond: NaN }],
            pushbacks: ["pushbacks", { upstreamId: "u1", leftMs: 5 }, { upstreamId: "u1", leftMs: NaN }],
        };
        for (const [kind, [field, good, odd]] of Object.entries(lists)) {
            const more = kind === "limits" ? { entryIds: [] } : kind === "pushbacks" ? { vm: "v" } : {};
            const decoded = decodeFrame(encode({ kind, ...more, [field]: [odd, good, 7] }));
            expect(decoded, kind).to.deep.include({ frame: { kind, ...more, [field]: [good] } });
            expect("refused" in decoded && decoded.refused.length, kind).to.equal(2);
        }
        const report: Report = {
            workByModel: {}, requests: 4, suspectIds: [], movingIds: [], crashes: [], limits: [limit], draining: [], pushbacks: [],
        };
        const odd = { ...report, limits: [limit, { ...limit, perSecond: NaN }], draining: [{ id: "u1", bornMs: 1e300 }] };
        expect(decodeReport(encode(odd))).to.deep.include({ report });
    });

    it("never throw, whatever a frame holds", () => {
        const anyValue = fc.anything({ withNullPrototype: true });
        const frame = fc.record({ kind: fc.constantFrom("upstreams", "heard", "alive", "site", "weather"), upstreams: fc.array(anyValue), heard: anyValue });
        fc.assert(fc.property(fc.oneof(fc.json(), fc.string(), frame.map(value => JSON.stringify(value))), text => {
            decodeFrame(Buffer.from(text));
        }), { seed: 11, numRuns: 500 });
        expect(decodeFrame(Buffer.from(`{"kind":"upstreams","upstreams":[${"[".repeat(500_000)}${"]".repeat(500_000)}]}`))).to.have.property("refused");
    });
});
