import { expect } from "chai";
import * as fc from "fast-check";
import { siteDialect } from "../../platform/siteWire.js";
import { checkLengths, parseBoundedJson, type Site } from "../../src/site/index.js";
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

describe("the lengths of names in a site", () => {
    const long = "x".repeat(10_000);
    const base = siteDialect.decodeSite(configurationText(3)).site!;
    const [firstRoute] = base.routes;
    const sites: Record<string, Site> = {
        "routes[0].name": { ...base, routes: [{ ...firstRoute!, name: long }] },
        "routes[0].host": { ...base, routes: [{ ...firstRoute!, host: long }] },
        "routes[0].pathPrefix": { ...base, routes: [{ ...firstRoute!, pathPrefix: `/${long}/` }] },
        "services[0].name": { ...base, services: [{ ...base.services[0]!, name: long }] },
        "services[0].healthPath": { ...base, services: [{ ...base.services[0]!, healthPath: `/${long}` }] },
        "organisations[0].name": { ...base, organisations: [{ name: long, keys: [] }] },
        "organisations[0].keys[1]": { ...base, organisations: [{ name: "o", keys: ["k", long] }] },
    };
    // Guards against names that make each line of the log as long as themselves, and against a bound that a newer daemon puts on old sites.
    it("are bounded for a site that is published, but not for one that was accepted before", () => {
        expect(checkLengths(base)).to.deep.equal([]);
        const places = Object.values(sites).map(site => checkLengths(site).map(({ place }) => place));
        expect(places).to.deep.equal(Object.keys(sites).map(place => [place]));
        const text = textWith({ tenants: [{ name: long, apiKeys: [long] }] });
        expect(siteDialect.decodeSite(text).site!.organisations![0]!.name).to.equal(long);
    });
});
