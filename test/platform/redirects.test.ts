import { expect } from "chai";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { createRedirectServer } from "../../platform/redirects.js";
import type { DisklessControl } from "../../src/siteControl/index.js";
import { exchangeRaw } from "../support/gatewaySite.js";

describe("redirects to the voters", () => {
    const targets = {
        "/api/config/get?x=1": "307 http://10.0.0.4:80/api/config/get?x=1", "/a\fb": "400", "/a\tb": "400", "*": "400", "http://other.example/a": "400",
    };
    for (const [target, expected] of Object.entries(targets)) {
        // Guards against a control daemon that ends because a path can't be written into its answer.
        it(`answer ${JSON.stringify(target)}`, async () => {
            const server = createRedirectServer(80, { nextVoterHost: () => "10.0.0.4" } as unknown as DisklessControl);
            await once(server.listen(0, "127.0.0.1"), "listening");
            const answer = await exchangeRaw((server.address() as AddressInfo).port, `OPTIONS ${target} HTTP/1.1\r\nHost: c\r\n\r\n`, 100);
            server.close();
            server.closeAllConnections();
            const location = /location: (.*)/.exec(answer)?.[1]?.trim();
            expect([answer.slice(9, 12), ...location === undefined ? [] : [location]].join(" ")).to.equal(expected);
        });
    }
});
