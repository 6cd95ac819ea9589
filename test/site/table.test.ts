import { expect } from "chai";
import { createSiteTable } from "../../src/site/index.js";
import { createSite } from "../support/gatewaySite.js";

describe("site table", () => {
    const site = createSite();
    const route = { ...site.routes[1]!, targets: [{ service: "orders", weight: 1 }] };
    const table = createSiteTable({
        ...site,
        routes: [
            { ...route, name: "root", host: "a.example", pathPrefix: "/" }, { ...route, name: "short", host: "a.example", pathPrefix: "/x/" },
            { ...route, name: "long", host: "a.example", pathPrefix: "/x/y/" }, { ...route, name: "open", host: "b.example", pathPrefix: "/x/", isPublic: true },
        ],
    });

    it("selects the route of the host with the longest prefix of the path", () => {
        const found = ["/x/y/z", "/x/y", "/x/", "/x", "/", "/q/x/y/"].map(path => table.route("A.example:80", path)?.name);
        expect(found).to.deep.equal(["long", "short", "short", "root", "root", "root"]);
        expect([table.route("b.example", "/q/"), table.route("c.example", "/x/")]).to.deep.equal([undefined, undefined]);
    });

    // Guards against a path of thousands of slashes that keeps an entry busy for 0.2 s, during which it serves nobody else.
    it("looks up no more prefixes of a path than the host's routes can have", () => {
        let lookups = 0;
        const countedPath = Object.assign(new String("/".repeat(15_000)), {
            slice: () => {
                lookups++;
                return "";
            },
        });
        expect([table.route("b.example", countedPath as string), lookups]).to.deep.equal([undefined, 3]);
    });

    it("requires a key unless the route is public", () => {
        expect([table.requiresKey(table.route("a.example", "/x/")!), table.requiresKey(table.route("b.example", "/x/")!)]).to.deep.equal([true, false]);
        expect([table.keyHolder("key-1")?.organisation, table.keyHolder("key-2")]).to.deep.equal(["studio", undefined]);
    });
});
