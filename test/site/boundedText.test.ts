import { expect } from "chai";
import * as fc from "fast-check";
import { siteDialect } from "../../platform/siteWire.js";
import { parseBoundedJson } from "../../src/site/index.js";
import { configurationText } from "../../standin/platform/index.js";

/** Returns the text of a configuration with `fields` in place of its own. */
function textWith(fields: object): string {
    return JSON.stringify({ ...JSON.parse(configurationText(3)) as object, ...fields });
}

const [route] = (JSON.parse(configurationText(3)) as { routes: object[] }).routes;
const repeated = (item: unknown) => Array.from({ length: 20_000 }, () => item);

const oddTexts: Record<string, { text: string; firstPlace: string }> = {
    "deep nesting": { text: "[".repeat(100_000), firstPlace: "the text" },
    "a nested unknown field": {
        text: configurationText(3).replace("{", `{"later":${"[".repeat(100_000)}${"]".repeat(100_000)},`), firstPlace: "the text",
    },
    "items without fields": { text: textWith({ routes: repeated({}) }), firstPlace: "routes[0].name" },
    "one route many times": { text: textWith({ routes: repeated(route) }), firstPlace: "routes[1]" },
    "a route with many bad targets": {
        text: textWith({ routes: [{ ...route, backends: repeated(1) }] }), firstPlace: "routes[0].backends[0]",
    },
    "one mistake in many routes": {
        text: textWith({ routes: repeated({ ...route, timeoutMs: -1 }) }), firstPlace: "routes[0].timeoutMs",
    },
    "an endless name": { text: textWith({ routes: [{ ...route, service: "x".repeat(1_000_000) }] }), firstPlace: "routes[0].targets[0]" },
};

describe("the text of a site", () => {
    for (const [label, { text, firstPlace }] of Object.entries(oddTexts)) {
        // Guards against an answer and a log line of megabytes, and a daemon busy for seconds, because of one mistake of an operator.
        it(`is refused with few findings for ${label}`, () => {
            const { findings } = siteDialect.decodeSite(text);
            expect(findings![0]!.place).to.equal(firstPlace);
            expect(JSON.stringify(findings).length).to.be.below(40_000);
        });
    }

    it("is parsed as JSON, whatever its strings contain", () => {
        const value = fc.jsonValue({ maxDepth: 4, stringUnit: fc.constantFrom("\\", "\"", "[", "{", "]", "a", "\n") });
        fc.assert(fc.property(value, expected => {
            expect(parseBoundedJson(JSON.stringify(expected))).to.deep.equal(JSON.parse(JSON.stringify(expected)));
        }), { seed: 31, numRuns: 300 });
        const deep = "[".repeat(9_000) + "\"[[[\\\"[[[\"" + "]".repeat(9_000);
        expect(() => parseBoundedJson(deep)).not.to.throw();
        expect(() => parseBoundedJson(`"${"[".repeat(20_000)}\\"${"[".repeat(20_000)}"`)).not.to.throw();
    });
});
