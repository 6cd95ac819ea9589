import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { createFeedWatcher } from "../../src/feed/index.js";

describe("a watcher that starts before its control daemon listens", () => {
    // Guards against an entry that has no site for half a second after the control daemon has started, because the delay has doubled.
    it("tries again often until the daemon is heard, and rarely after the time that a start may take", async function () {
        this.timeout(20_000);
        let connections = 0;
        const server = createServer(socket => {
            connections++;
            socket.destroy();
        }).listen(0, "127.0.0.1");
        await once(server, "listening");
        const watcher = createFeedWatcher({
            daemonId: "e1", isEntry: true, dataCentre: "a", onFrame: () => undefined, onHeardChanged: () => undefined,
        });
        watcher.watch([`127.0.0.1:${(server.address() as AddressInfo).port}`]);
        await new Promise(resolve => setTimeout(resolve, 1_000));
        expect(connections).to.be.within(8, 60);
        await new Promise(resolve => setTimeout(resolve, 5_000));
        const before = connections;
        await new Promise(resolve => setTimeout(resolve, 1_000));
        expect(connections - before).to.be.below(5);
        watcher.close();
        server.close();
    });
});
