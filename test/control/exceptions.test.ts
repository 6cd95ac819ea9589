import { expect } from "chai";
import { type ClusterState, emptyCluster, type ReplicatedLog } from "../../src/cluster/index.js";
import { createControl } from "../../src/control/index.js";
import type { Settings } from "../../src/config/index.js";
import type { PeerConnections } from "../../src/rpc/index.js";
import { createLeaseClock } from "../../src/runtime/index.js";
import { waitUntil } from "../support/platformSite.js";

describe("an exception in a step of the control role", () => {
    // Guards against a control daemon that ends, with all its sessions, because a step throws or its promise is rejected.
    it("is reported and costs that step alone", async () => {
        const notify: (() => void)[] = [];
        const log = {
            role: "leader", leaseHeld: true, state: emptyCluster,
            subscribe: (listener: () => void) => {
                notify.push(listener);
                return () => undefined;
            },
        };
        const events: string[] = [];
        const control = createControl({
            settings: { daemon: { id: "c" } } as Settings, log: log as unknown as ReplicatedLog, clock: createLeaseClock(),
            connections: {} as PeerConnections, onChange: event => events.push(event),
        });
        try {
            log.state = { ...emptyCluster, replicas: undefined, suspects: undefined } as unknown as ClusterState;
            expect(notify[0]).not.to.throw();
            await waitUntil("steps have thrown", () => events.filter(event => event === "exception").length > 2);
            log.state = emptyCluster;
            expect([control.isLeader(), control.inForce()]).to.deep.equal([true, undefined]);
        }
        finally {
            control.stop();
        }
    });
});
