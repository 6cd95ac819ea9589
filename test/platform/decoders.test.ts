import { expect } from "chai";
import * as fc from "fast-check";
import { siteDialect } from "../../platform/siteWire.js";
import { decodeHeartbeat, encodeOrder } from "../../platform/upstreamWire.js";
import { configurationText } from "../../standin/platform/index.js";

const heartbeat = {
    service: "pool", address: "10.0.0.9:8080", zone: "a", version: "v1", slots: 24, state: "ready", coldRemainingMs: 0, seq: 4, born: 1_700_000_000_000,
    staged: ["lm"], domain: "a-0", group: { name: "lm/7", epoch: 7, rank: 0, state: "open" },
};

/** A configuration as it is written, as far as the tests change it. */
interface Written extends Record<string, unknown> {
    routes: Record<string, unknown>[];
    tenants: object[];
}

/** A configuration with one thing changed. */
function changed(change: (raw: Written) => void): string {
    const raw = JSON.parse(configurationText(3)) as Written;
    change(raw);
    return JSON.stringify(raw);
}

function places(text: string): string[] {
    return (siteDialect.decodeSite(text).findings ?? []).map(finding => finding.place);
}

describe("decoders of the platform", () => {
    it("read a whole configuration into the product's terms", () => {
        const { site } = siteDialect.decodeSite(configurationText(3));
        expect(site!.routes[0]).to.include({ name: "charge", kind: "non-idempotent", latenessMs: 400, maxAttempts: 2, isResumable: false });
        expect(site!.services[1]!.engine!.models).to.deep.equal([{ name: "lm", size: 2, share: 1, pace: 1, loadMs: 1_000, warmMs: 300 }]);
        expect(site!.organisations).to.deep.equal([{ name: "studio", keys: ["key-1"], priority: 1 }]);
    });

    it("find each kind of invalid configuration, with its place", () => {
        expect({
            cutShort: places(configurationText(3).slice(0, -20)),
            unknownService: places(changed(raw => raw.routes[1]!.service = "none")),
            samePlace: places(changed(raw => raw.routes[1]!.pathPrefix = raw.routes[0]!.pathPrefix)),
            noWeight: places(changed(raw => {
                delete raw.routes[0]!.service;
                raw.routes[0]!.backends = [{ service: "orders", weight: 0 }];
            })),
            noTimeout: places(changed(raw => raw.routes[2]!.timeoutMs = 0)),
            sharedKey: places(changed(raw => {
                raw.tenants.push({ name: "other", apiKeys: ["key-1"] });
            })),
            noTarget: places(changed(raw => {
                delete raw.routes[0]!.service;
            })),
            noVersion: places(changed(raw => {
                delete raw.version;
            })),
        }).to.deep.equal({
            cutShort: ["the text"],
            unknownService: ["routes[1].targets[0]"],
            samePlace: ["routes[1]"],
            noWeight: ["routes[0]"],
            noTimeout: ["routes[2].timeoutMs"],
            sharedKey: ["organisations[1].keys"],
            noTarget: ["routes[0].targets"],
            noVersion: ["version"],
        });
    });

    it("pass over fields that they don't know", () => {
        expect(places(changed(raw => {
            raw.later = { field: 1 };
            raw.routes[0]!.later = "x";
        }))).to.deep.equal([]);
    });

    it("read a heartbeat, and name no upstream for one that another writer sent", () => {
        expect(decodeHeartbeat("u1", heartbeat)).to.include({ id: "u1", dataCentre: "a", sequence: 4, bornMs: 1_700_000_000_000, state: "ready" });
        const others = [
            { ...heartbeat, state: "asleep" }, { ...heartbeat, address: 7 }, { ...heartbeat, group: "lm/7" }, { ...heartbeat, seq: undefined },
            { ...heartbeat, group: { name: "lm/7" } }, "text", undefined,
        ];
        expect(others.map(other => decodeHeartbeat("u1", other))).to.deep.equal(others.map(() => undefined));
    });

    it("never throw, whatever comes", () => {
        const anything = fc.anything({ withNullPrototype: true });
        fc.assert(fc.property(anything, raw => {
            decodeHeartbeat("u1", raw);
        }), { seed: 7, numRuns: 500 });
        fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
            siteDialect.decodeSite(text);
        }), { seed: 8, numRuns: 500 });
        const keys = Object.keys(heartbeat);
        fc.assert(fc.property(fc.constantFrom(...keys), anything, (key, value) => {
            decodeHeartbeat("u1", { ...heartbeat, [key]: value });
        }), { seed: 9, numRuns: 500 });
    });

    it("write orders in the platform's words", () => {
        const orders = [
            encodeOrder({ kind: "join", group: "lm/7", epoch: 7, model: "lm", memberIds: ["u1", "u2"] }),
            encodeOrder({ kind: "close", group: "lm/7", epoch: 7, running: "finish" }),
            encodeOrder({ kind: "leave", group: "lm/7", epoch: 7 }),
            encodeOrder({ kind: "stage", model: "lm" }),
        ];
        expect(orders.map(order => JSON.parse(order.body) as unknown)).to.deep.equal([
            { operation: "join", group: "lm/7", epoch: 7, model: "lm", members: ["u1", "u2"] },
            { operation: "close", group: "lm/7", epoch: 7, closeMode: "queue" },
            { operation: "leave", group: "lm/7", epoch: 7 },
            { operation: "stage", model: "lm" },
        ]);
    });
});
