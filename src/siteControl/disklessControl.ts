/**
 * The control role of a daemon without a disk. It makes no decisions and stores nothing, but refers callers, entries and other daemons to
 * the voters.
 *
 * @module
 */

import type { ConsensusNode } from "../consensus/index.js";
import { aliveIntervalMs, createFeedServer, type FeedServer, type Frame } from "../feed/index.js";

export interface DisklessControl {
    readonly feed: FeedServer;
    /** Returns the host of the next voter in turn; undefined while none is known. */
    nextVoterHost(): string | undefined;
    start(): void;
    stop(): void;
}

/** Creates the role. It publishes nothing before `start` is called. */
export function createDisklessControl(log: Pick<ConsensusNode, "voterAddresses">, dataCentre: string): DisklessControl {
    let publishedAddresses = "";
    let nextIndex = Math.floor(Math.random() * 1_000);
    let timer: NodeJS.Timeout | undefined;

    function voterFrames(): Frame[] {
        const addresses = [...log.voterAddresses()];
        return addresses.length === 0 ? [] : [{ kind: "controls", addresses }];
    }

    const aliveFrame: Frame = { kind: "alive", leads: false, dataCentre, hasContent: false, isInTouch: false, siteVersion: -1 };

    const feed = createFeedServer({
        initialFrames: () => [...voterFrames(), aliveFrame],
        onReport: () => undefined,
        nowMs: () => performance.now(),
    });

    function publishState() {
        const addresses = log.voterAddresses().join(",");
        if (addresses !== publishedAddresses) {
            publishedAddresses = addresses;
            voterFrames().forEach(frame => feed.publish(frame));
        }
        feed.publish(aliveFrame);
    }

    return {
        feed,
        nextVoterHost() {
            const addresses = log.voterAddresses();
            const address = addresses[nextIndex++ % Math.max(1, addresses.length)];
            return address?.slice(0, address.lastIndexOf(":"));
        },
        start() {
            timer = setInterval(publishState, aliveIntervalMs);
        },
        stop() {
            clearInterval(timer);
            feed.close();
        },
    };
}
