import { expect } from "chai";
import { type Site, startSite } from "../../bench/site.js";
import { sendCompletion, type CallResult, expectedText } from "../support/callers.js";

const crashingPrompt = "please CRASH-PROMPT now";
const cutOffResult = (): CallResult => ({ status: 0, code: "cut-off", execution: undefined, retryAfterMs: undefined, text: "", done: false });

describe("a request that crashes upstreams", () => {
    let site: Site;

    before(async () => {
        site = await startSite({ dataCentres: ["scl-a"], entryOnlyDaemons: 2, replicas: 4, vmsPerReplica: 1, coldCapacity: 32 });
    });

    after(() => site.stop());

    function countStoppedEngines(): number {
        return site.vms.filter(vm => vm.upstream.process.exitCode !== null).length; // eslint-disable-line no-restricted-syntax
    }

    // A request crashes the engine that runs it, and its retry, isolated on another replica, crashes a second one. After that every entry
    // must refuse the request immediately, however often it is resent, and the remaining replicas must serve all other callers.
    it("crashes at most two engines, however many resends arrive through all entries", async () => {
        const bystander = sendCompletion(site, "bystander", { maxTokens: 30 });
        const first = await sendCompletion(site, crashingPrompt).catch(cutOffResult);
        const resends = await Promise.all(Array.from({ length: 30 }, (_, number) =>
            sendCompletion(site, crashingPrompt, { entry: number % site.entries.length }).catch(cutOffResult)));
        expect(countStoppedEngines()).to.equal(2);
        expect(first.code).to.equal("crash-suspect");
        expect(new Set(resends.map(result => `${result.status} ${result.code} ${result.execution}`))).toMatchSnapshot();
        expect(resends.every(result => result.retryAfterMs! > 60_000)).to.equal(true);
        expect((await bystander).text).to.equal(expectedText("bystander", 30));
        const others = await Promise.all([0, 1, 2].map(entry => sendCompletion(site, `other ${entry}`, { entry })));
        others.forEach((result, entry) => expect(result.text).to.equal(expectedText(`other ${entry}`, 40)));
    });
});

describe("a part of prompts that crashes upstreams", () => {
    let site: Site;

    before(async () => {
        site = await startSite({ dataCentres: ["scl-a"], entryOnlyDaemons: 2, replicas: 7, vmsPerReplica: 1, coldCapacity: 32 });
    });

    after(() => site.stop());

    function countStoppedEngines(): number {
        return site.vms.filter(vm => vm.upstream.process.exitCode !== null).length; // eslint-disable-line no-restricted-syntax
    }

    // Guards against one engine after the other lost to requests that share a message and are otherwise different.
    it("is refused at every entry after few crashes, and requests with the same key and another message are served", async () => {
        const send = (prompt: string, entry: number, system: string) => sendCompletion(site, prompt, { entry, system }).catch(cutOffResult);
        await send("before", 0, "be brief");
        for (const number of [1, 2, 3]) {
            await send(`different ${number}`, number % 3, crashingPrompt);
        }
        const stopped = countStoppedEngines();
        expect(stopped).to.be.within(3, 5);
        const others = await Promise.all(Array.from({ length: 30 }, (_, number) => send(`more ${number}`, number % 3, crashingPrompt)));
        const answers = new Set(others.map(result => `${result.status} ${result.code} ${result.execution}`));
        expect(answers).to.deep.equal(new Set(["422 crash-suspect not-run"]));
        expect(countStoppedEngines()).to.equal(stopped);
        const served = await Promise.all([0, 1, 2].map(entry => send(`after ${entry}`, entry, "be brief")));
        expect(served.map(({ status, done }) => `${status} ${done}`)).to.deep.equal(["200 true", "200 true", "200 true"]);
    });
});
