import { expect } from "chai";
import { callsForOverloadControl, type OverloadMode, type Site } from "../../src/site/index.js";
import { createSite } from "../support/gatewaySite.js";

function siteWith(priorities: readonly number[], delayMs: number): Site {
    const site = createSite();
    const route = site.routes.find(({ kind }) => kind === "stream")!;
    const routes = priorities.map((priority, index) => ({ ...route, name: `caption-${index}`, pathPrefix: `/caption-${index}/`, priority }));
    const delays = [{ from: "a", to: "b", delayMs }];
    const services = site.services.map(({ engine, ...service }) =>
        engine === undefined ? service : { ...service, engine: { ...engine, delays } });
    return { ...site, routes: [...site.routes.filter(({ kind }) => kind !== "stream"), ...routes], services };
}

describe("overload control", () => {
    // Guards against a change of behaviour on sites that don't ask for it, and against leaving out a site that does.
    it("acts for the services for which the site or the settings call for it", () => {
        const sites = { "equal priorities, close": siteWith([1, 1], 0.9), "two priorities": siteWith([0, 1], 0.9), distant: siteWith([1, 1], 5.4) };
        const modes: OverloadMode[] = ["auto", "on", "off"];
        const decisions = Object.entries(sites).flatMap(([label, site]) =>
            modes.map(mode => `${label}, ${mode}: ${callsForOverloadControl("pool", site, mode)}`));
        expect(decisions).toMatchSnapshot();
        expect(callsForOverloadControl("orders", siteWith([0, 1], 5.4), "on"), "a service without engines").to.equal(false);
        expect(callsForOverloadControl("unknown", siteWith([0, 1], 5.4), "on"), "an unknown service").to.equal(false);
    });
});
