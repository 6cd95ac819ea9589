import { expect } from "chai";
import * as fc from "fast-check";
import { siteDialect } from "../../platform/siteWire.js";
import { decodeHeartbeat, encodeOrder } from "../../platform/upstreamWire.js";
import { announcementSchema } from "../../src/fleet/index.js";
import { configurationText } from "../../standin/platform/index.js";
import { oddBodies, soundCheckIn } from "../support/oddCheckIns.js";

const heartbeat = {
    service: "pool", address: "10.0.0.9:8080", zone: "a", version: "v1", slots: 24, state: "ready", coldRemainingMs: 0, seq: 4, born: 1_700_000_000_000,
    staged: ["lm"], domain: "a-0", group: { name: "lm/7", epoch: 7, rank: 0, state: "open" },
};

/** The undecoded configuration; only the fields that the tests change are typed. */
interface RawConfiguration extends Record<string, unknown> {
    routes: Record<string, unknown>[];
    tenants: object[];
}

/** Returns the text of a configuration after `change`. */
function configurationWith(change: (raw: RawConfiguration) => void): string {
    const raw = JSON.parse(configurationText(3)) as RawConfiguration;
    change(raw);
    return JSON.stringify(raw);
}

function tryParse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

function findingPlaces(text: string): string[] {
    return (siteDialect.decodeSite(text).findings ?? []).map(finding => finding.place);
}

describe("decoders of the platform", () => {
    it("decode a complete configuration", () => {
        const { site } = siteDialect.decodeSite(configurationText(3));
        expect(site!.routes[0]).to.include({ name: "charge", kind: "non-idempotent", latenessMs: 400, maxAttempts: 2, isResumable: false });
        expect(site!.services[1]!.engine!.models).to.deep.equal([{ name: "lm", size: 2, share: 1, pace: 1, loadMs: 1_000, warmMs: 300 }]);
        expect(site!.organisations).to.deep.equal([{ name: "studio", keys: ["key-1"], priority: 1 }]);
    });

    it("derive how long callers wait for an event from the targets of the route", () => {
        const patienceOf = (targetLatencyMs: number, targetGapMs: number) => {
            const text = configurationWith(raw => Object.assign(raw.routes[0]!, { targetLatencyMs, targetGapMs }));
            return siteDialect.decodeSite(text).site!.routes[0]!.patienceMs;
        };
        expect([patienceOf(300, 200), patienceOf(600, 200), patienceOf(300, 300)]).to.deep.equal([2_000, 2_400, 2_400]);
    });

    it("report each kind of invalid configuration with its path", () => {
        expect({
            cutShort: findingPlaces(configurationText(3).slice(0, -20)),
            unknownService: findingPlaces(configurationWith(raw => raw.routes[1]!.service = "none")),
            samePlace: findingPlaces(configurationWith(raw => raw.routes[1]!.pathPrefix = raw.routes[0]!.pathPrefix)),
            noWeight: findingPlaces(configurationWith(raw => {
                delete raw.routes[0]!.service;
                raw.routes[0]!.backends = [{ service: "orders", weight: 0 }];
            })),
            noTimeout: findingPlaces(configurationWith(raw => raw.routes[2]!.timeoutMs = 0)),
            sharedKey: findingPlaces(configurationWith(raw => {
                raw.tenants.push({ name: "other", apiKeys: ["key-1"] });
            })),
            noTarget: findingPlaces(configurationWith(raw => {
                delete raw.routes[0]!.service;
            })),
            noVersion: findingPlaces(configurationWith(raw => {
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

    it("ignore unknown fields", () => {
        expect(findingPlaces(configurationWith(raw => {
            raw.later = { field: 1 };
            raw.routes[0]!.later = "x";
        }))).to.deep.equal([]);
    });

    it("decode a heartbeat and reject bodies of other senders", () => {
        expect(decodeHeartbeat("u1", heartbeat)).to.include({ id: "u1", dataCentre: "a", sequence: 4, bornMs: 1_700_000_000_000, state: "ready" });
        const invalidHeartbeats = [
            { ...heartbeat, state: "asleep" }, { ...heartbeat, address: 7 }, { ...heartbeat, group: "lm/7" }, { ...heartbeat, seq: undefined },
            { ...heartbeat, group: { name: "lm/7" } }, "text", undefined,
        ];
        expect(invalidHeartbeats.map(invalid => decodeHeartbeat("u1", invalid))).to.deep.equal(invalidHeartbeats.map(() => undefined));
    });

    it("never throw on arbitrary input", () => {
        const anyValue = fc.anything({ withNullPrototype: true });
        fc.assert(fc.property(anyValue, raw => {
            decodeHeartbeat("u1", raw);
        }), { seed: 7, numRuns: 500 });
        fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
            siteDialect.decodeSite(text);
        }), { seed: 8, numRuns: 500 });
        const keys = Object.keys(heartbeat);
        fc.assert(fc.property(fc.constantFrom(...keys), anyValue, (key, value) => {
            decodeHeartbeat("u1", { ...heartbeat, [key]: value });
        }), { seed: 9, numRuns: 500 });
    });

    // Guards against an address, a length or a number that entries can't use or that every daemon must hold.
    it("take none of the odd check-ins", () => {
        const parsed = [...oddBodies()].map(([name, body]) => [name, tryParse(body)] as const);
        expect(parsed.filter(([, body]) => decodeHeartbeat("u1", body) !== undefined).map(([name]) => name)).to.deep.equal([]);
        expect(decodeHeartbeat("u1", soundCheckIn)).to.include({ id: "u1", address: soundCheckIn.address });
        expect(["", "a b", "a\nb", "é", "x".repeat(200)].map(id => decodeHeartbeat(id, soundCheckIn))).to.deep.equal(Array(5).fill(undefined));
    });

    it("take only what is in bounds", () => {
        const value = fc.oneof(
            fc.string({ unit: "binary", maxLength: 400 }), fc.double(), fc.maxSafeInteger(),
            fc.array(fc.string({ maxLength: 400 }), { maxLength: 3 }), fc.constant(undefined),
        );
        fc.assert(fc.property(fc.subarray(Object.keys(heartbeat)), fc.array(value, { minLength: 16, maxLength: 16 }), (keys, values) => {
            const changes = Object.fromEntries(keys.map((key, index) => [key, values[index]]));
            const decoded = decodeHeartbeat("u1", { ...heartbeat, ...changes });
            if (decoded !== undefined) {
                const { bornMs, sequence, slots, coldForMs, stagedModels, group, ...texts } = decoded;
                expect(announcementSchema.parse(decoded)).to.deep.equal(decoded);
                expect(Object.values(texts).every(text => text === undefined || text.length <= 256)).to.equal(true);
                const numbers = [bornMs, sequence, slots, coldForMs, group?.rank ?? 0];
                expect(numbers.every(number => number >= 0 && number <= 2 ** 52)).to.equal(true);
                expect(stagedModels.every(model => model.length <= 256)).to.equal(true);
            }
        }), { seed: 10, numRuns: 1_000 });
    });

    it("encode orders in the platform's format", () => {
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
