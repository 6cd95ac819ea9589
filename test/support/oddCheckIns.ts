/**
 * Check-ins that name no runner to use: fields out of bounds or of another type, and bytes that are no check-in.
 *
 * @module
 */

/** A check-in of a sound runner. */
export const soundCheckIn = {
    service: "orders", address: "127.0.0.1:9", zone: "dc-0", version: "v1", slots: 24, state: "ready", coldRemainingMs: 0, seq: 4,
};

const long = "x".repeat(100_000);
/** Longer than a check-in may be. */
const tooLong = "x".repeat(1_000_000);
const group = { name: "lm/1", epoch: 1, rank: 0, state: "open" };

function nested(depth: number): string {
    return "[".repeat(depth) + "]".repeat(depth);
}

/** The text of the sound check-in with a field whose value is given as JSON. */
function withField(field: string, json: string): string {
    return JSON.stringify({ ...soundCheckIn, [field]: "@" }).replace("\"@\"", () => json);
}

const addresses = [
    "127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:080", "127.0.0.1:8e1", "127.0.0.1", ":80", "a^b|<>:80", "a/b:80", "a@b:80",
    "256.0.0.1:80", "1.2:80", "a.0x1:80", "xn--a:80", "a..b:80", "a\r\nb:80", "a\0:80", "é:80", "\ud800:80", "[::1]:80", `${long}:80`,
];
const otherFields: Record<string, readonly unknown[]> = {
    service: ["", "\ud800", "\0", long, tooLong, 7], zone: ["", long, tooLong, {}], slots: [-1, 1.5, 2 ** 53, 1e308, "4"],
    state: ["asleep", 1, long], coldRemainingMs: [-1, 1e308, "5"], seq: [-1, 0.5, 2 ** 53 - 1, 1e308, "4"],
    born: [-1, 0.5, 2 ** 53 - 1, 1e308, "0"], domain: [long, true],
    staged: [[long], [7], Array<string>(10_000).fill("lm"), "lm"],
    group: [
        { ...group, epoch: -1 }, { ...group, epoch: 1e308 }, { ...group, rank: 2 ** 32 }, { ...group, rank: -1 }, { ...group, name: long },
        { ...group, state: "asleep" }, [], "lm/1", Array(20_000).fill(group),
    ],
};

/** The bodies by description. */
export function oddBodies(): ReadonlyMap<string, string> {
    const texts = [
        ...addresses.map(address => ["address", JSON.stringify(address)] as const),
        ...Object.entries(otherFields).flatMap(([field, values]) => values.map(value => [field, JSON.stringify(value)] as const)),
        ...["service", "address", "slots", "group", "domain", "staged"].map(field => [field, nested(100_000)] as const),
        ...Object.keys(soundCheckIn).filter(field => field !== "version").map(field => [field, "null"] as const),
        ...["slots", "seq", "born", "coldRemainingMs"].map(field => [field, "1e999"] as const),
    ];
    const bodies = texts.map(([field, json]) => [`${field} ${json.slice(0, 40)}`, withField(field, json)] as const);
    const others = ["", "null", "7", "[]", "{", "\0\xff", nested(100_000), nested(500_000), "{\"__proto__\":{\"service\":\"orders\"}}"];
    return new Map([...bodies, ...others.map(body => [`body ${body.slice(0, 20)} of ${body.length}`, body] as const)]);
}
