import { expect } from "chai";
import { announcementSchema, groupMembershipSchema, isAddress, relayedUpstreamSchema } from "../../src/fleet/index.js";

const oddValues = [
    "x".repeat(10_000), "\ud800", 2 ** 53 - 1, 1e300, Infinity, NaN, -1, Array<string>(100_000).fill("x"), ["x".repeat(10_000)], {},
];
/** What a field of free text may hold: it is only compared and shown. */
const allowed: Record<string, readonly unknown[]> = { domain: ["\ud800"] };

describe("what an upstream states of itself", () => {
    // Guards against a field that is kept and relayed to every daemon however long or large it is.
    it("is bounded in each field", () => {
        const fields = Object.entries({ ...groupMembershipSchema.shape, ...announcementSchema.shape, ...relayedUpstreamSchema.shape });
        const accepted = fields.flatMap(([name, schema]) =>
            oddValues.filter(value => schema.safeParse(value).success && allowed[name]?.includes(value) !== true)
                .map(value => [name, value]));
        expect(accepted).to.deep.equal([]);
    });

    it("has an address to which a connection can be opened", () => {
        const sound = ["127.0.0.1:80", "10.128.0.9:65535", "vm7:1", "7vm:80", "a-b.c.example:8080", "u1:1", `${"x".repeat(63)}.y:80`];
        expect(sound.filter(address => !isAddress(address))).to.deep.equal([]);
        sound.forEach(address => expect(new URL(`http://${address}`).port).to.equal(address.endsWith(":80") ? "" : address.split(":")[1]));
    });
});
