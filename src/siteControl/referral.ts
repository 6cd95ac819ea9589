/**
 * The control role where there is no disk: it decides and keeps nothing, and refers callers, entries and other daemons to the voters.
 *
 * @module
 */

import type { ConsensusNode } from "../consensus/index.js";
import { aliveMs, createFeedServer, type FeedServer, type Frame } from "../feed/index.js";

export interface Referral {
    readonly feed: FeedServer;
    /** The host of a voter, another one each time; undefined while none is known. */
    nextHost(): string | undefined;
    start(): void;
    stop(): void;
}

/** Creates the role; `start` begins to tell. */
export function createReferral(log: Pick<ConsensusNode, "voterAddresses">, dataCentre: string): Referral {
    let told = "";
    let next = Math.floor(Math.random() * 1_000);
    let timer: NodeJS.Timeout | undefined;

    function voters(): Frame[] {
        const addresses = [...log.voterAddresses()];
        return addresses.length === 0 ? [] : [{ kind: "controls", addresses }];
    }

    const alive: Frame = { kind: "alive", leads: false, dataCentre, hasContent: false, isInTouch: false, siteVersion: -1 };

    const feed = createFeedServer({
        greeting: () => [...voters(), alive],
        report: () => undefined,
        nowMs: () => performance.now(),
    });

    function tell() {
        const addresses = log.voterAddresses().join(",");
        if (addresses !== told) {
            told = addresses;
            voters().forEach(frame => feed.publish(frame));
        }
        feed.publish(alive);
    }

    return {
        feed,
        nextHost() {
            const addresses = log.voterAddresses();
            const address = addresses[next++ % Math.max(1, addresses.length)];
            return address?.slice(0, address.lastIndexOf(":"));
        },
        start() {
            timer = setInterval(tell, aliveMs);
        },
        stop() {
            clearInterval(timer);
            feed.close();
        },
    };
}
