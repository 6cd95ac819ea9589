/**
 * Check-ins that no sound upstream sends, as a faulty or foreign writer posts them to control daemons.
 *
 * @module
 */

import type { Random } from "../random.js";

export interface OddCheckInCall {
    /** What is odd about it. */
    readonly name: string;
    readonly id: string;
    /** Whether none of it may be taken up; the others are under ids of their own. */
    readonly isRefusable: boolean;
    readonly path: string;
    readonly body: string | Buffer;
}

type Change = readonly [name: string, fields: Record<string, unknown>];

const [nestingDepth, longListLength, longLength] = [100_000, 100_000, 1_000_000];
/** Few enough for each to come again with other values, as those of an upstream whose check-ins turn odd. */
const newIds = 6;
/** Part of the refusable ones that are posted under the id of an upstream that serves. */
const livingShare = 0.5;
/** Nothing listens there. */
const deadAddress = "127.0.0.1:2";
/** Stands in a body for a deeply nested list, which `JSON.stringify` can't write. */
const nestedMark = "nested list";
const nested = `${"[".repeat(nestingDepth)}${"]".repeat(nestingDepth)}`;
const jsonNull: unknown = JSON.parse("null");
const group = { name: "g", epoch: 1, rank: 0, state: "open" };

function of(field: string, ...values: unknown[]): Change[] {
    return values.map(value => [`${field} ${JSON.stringify(value)?.slice(0, 40)}`, { [field]: value }]);
}

function inGroup(fields: Record<string, unknown>): Change {
    return [`group ${JSON.stringify(fields)}`, { group: { ...group, ...fields } }];
}

const safeMax = Number.MAX_SAFE_INTEGER;
const longText = "x".repeat(longLength);
const [oddPorts, oddHosts] = [
    ["65536", "99999", "0", "-1", "", "1e3", "80/", "80 ", "80\r\nx: y"],
    ["a b", "host/path", "http://127.0.0.1", "user@host", "a?b", "a#b", "a%b", "a\\b", "\0", "[", "é<", "", longText],
];

/** None of these can be an upstream's: they must be refused whole. */
const refusable: readonly Change[] = [
    ...of("address", ...oddPorts.map(port => `127.0.0.1:${port}`), ...oddHosts.map(host => `${host}:80`)),
    ...of("address", "127.0.0.1", 80, jsonNull, undefined, [deadAddress], nestedMark),
    ...of("slots", 1e308, safeMax, -1, 1.5, "8", jsonNull, undefined, {}),
    ...of("seq", 1e308, safeMax, -safeMax, 1.5, "1", jsonNull, undefined),
    ...of("born", 1e308, safeMax, -safeMax, 1.5, "1", []), ["seq and born", { seq: safeMax, born: safeMax }],
    ...of("coldRemainingMs", 1e308, -1, "1", []),
    ...of("state", "gone", "", 7, jsonNull, undefined, nestedMark),
    ...of("service", "", longText, 7, jsonNull, undefined, [], nestedMark),
    ...of("zone", "", longText, 7, jsonNull, undefined, {}, nestedMark),
    ...of("domain", longText, nestedMark, {}, true),
    ...of("staged", Array.from({ length: longListLength }, (_, index) => `m${index}`), [longText], nestedMark, "lm", [7], [nestedMark], { lm: 1 }),
    ...of("group", nestedMark, "g", 7, [], {}, { name: "g" }),
    ...[{ epoch: 1e308 }, { epoch: safeMax }, { epoch: -1 }, { epoch: "1" }, { rank: 0.5 }, { rank: safeMax }, { rank: -1 }].map(inGroup),
    ...[{ name: "" }, { name: nestedMark }, { state: "dancing" }].map(inGroup),
];

/** An upstream might send these, or a daemon may leave them out of account: they come under ids of their own. */
const extreme: readonly Change[] = [
    ...of("seq", 0), ...of("born", 0), ...of("slots", 0), ...of("domain", 1e308, "", "__proto__"), inGroup({ state: "broken" }),
    ...of("service", "nowhere", "__proto__"), ...of("zone", "nowhere", "__proto__"), ...of("staged", ["__proto__"]),
    ...of("models", nestedMark, Array(longListLength).fill({}), longText), ["an unknown field", { [nestedMark]: nestedMark }],
    ...of("address", "127.0.0.1:6000", "nowhere.invalid:80"),
];

const bodies: readonly (readonly [name: string, body: string | Buffer])[] = [
    ["no body", ""], ["half a body", "{\"service\":\"orders\","], ["null", "null"], ["a number", "1e999"], ["a text", "\"orders\""], ["a list", "[]"],
    ["a nested body", nested], ["a nested object", `${"{\"a\":".repeat(nestingDepth)}1${"}".repeat(nestingDepth)}`],
    ["bytes that aren't text", Buffer.from([0xff, 0xfe, 0, 0xc3, 0x28])], ["zeroes", Buffer.alloc(longLength)],
];
/** As they stand in a path. */
const oddIds = ["%00", "a%2Fb", "%2e%2e", "%E0%A4%A", "__proto__", "x".repeat(5_000), "%F0%9F%92%A9", "%20", ""];

function pick<Item>(random: Random, items: readonly Item[]): Item {
    return items[Math.floor(random() * items.length)]!;
}

/** Draws a check-in, under a new id or, if none of it may be taken up, also under one of `livingIds`. */
export function drawOddCheckIn(random: Random, livingIds: readonly string[]): OddCheckInCall {
    const isRefusable = random() < 0.6;
    const service = pick(random, ["orders", "pool"]);
    const sound = {
        service, address: deadAddress, zone: pick(random, ["dc-0", "dc-1", "dc-2"]), version: "v1", slots: 8, state: "ready", coldRemainingMs: 0,
        seq: 1 + Math.floor(random() * 1e6), born: Date.now(), staged: [], domain: service === "pool" ? "d0" : undefined, stage: "mixed", models: [],
    };
    const [name, fields] = pick(random, isRefusable ? refusable : extreme);
    const changed: readonly [string, string | Buffer] = [name, JSON.stringify({ ...sound, ...fields }).replaceAll(`"${nestedMark}":`, "\"nested\":").replaceAll(`"${nestedMark}"`, nested)];
    const [oddity, body] = isRefusable && random() < 0.25 ? pick(random, bodies) : changed;
    const newId = random() < 0.15 ? pick(random, oddIds) : `odd-${Math.floor(random() * newIds)}`;
    const id = isRefusable && random() < livingShare ? pick(random, livingIds) : newId;
    return { name: oddity, id, isRefusable, path: `/api/instances/${id}/heartbeat`, body };
}
