/**
 * The engine of a runner, with the orders and groups of the platform's pages: joins with epochs, heads that open and close, and groups that
 * stand still and then break when a member is lost. All engines of a site share a `pool`, through which a head sees its members.
 *
 * @module
 */

const quickJoinMs = 200;
/** Loads before the first request take one tenth of the time. */
const startLoadShare = 0.1;
const moveCheckMs = 50;
const eventMs = 30;
const eventsPerAnswer = 6;

/** Creates the engines' common knowledge: `members` by id, and what the model and the site say. */
export function createPool({ model, size, loadS, warmS, formMs, stallMs }) {
    return { members: new Map(), model, size, loadMs: loadS * 1_000, warmMs: warmS * 1_000, formMs, stallMs, isBeforeFirstRequest: true };
}

/** Creates an engine. `staged`: models on its host. `onJoinTaken` is called when it takes a join, with its membership until then. */
export function createEngine({ id, domain, pool, staged = [], onJoinTaken }) {
    let membership;
    let highestEpoch = -1;
    let lastModel;
    let stagedModels = [...staged];
    let changed = () => undefined;
    let standsStillSinceMs;
    const timers = new Set();
    const answers = new Set();

    function later(callback, delayMs) {
        const timer = setTimeout(() => {
            timers.delete(timer);
            callback();
        }, delayMs);
        timers.add(timer);
    }

    function setState(group, state) {
        if (membership === group) {
            group.state = state;
            changed();
        }
    }

    function joinMs(model) {
        if (lastModel === model) {
            return quickJoinMs;
        }
        if (stagedModels.includes(model)) {
            return pool.warmMs;
        }
        return pool.isBeforeFirstRequest ? pool.loadMs * startLoadShare : pool.loadMs;
    }

    function join({ group: name, epoch, model, members }) {
        const isSame = membership?.name === name && membership.epoch === epoch;
        if (epoch < highestEpoch || (isSame && membership.members.join() !== members.join())) {
            return 412;
        }
        if (isSame) {
            return 200;
        }
        onJoinTaken?.(membership, name);
        const joined = { name, epoch, model, members, rank: members.indexOf(id), state: "joining" };
        const delayMs = joinMs(model);
        cutAnswers();
        membership = joined;
        highestEpoch = epoch;
        lastModel = undefined;
        later(() => {
            if (membership === joined) {
                lastModel = model;
                stagedModels = [model];
                setState(joined, "ready");
            }
        }, delayMs);
        return 202;
    }

    function stage({ model }) {
        if (stagedModels.includes(model)) {
            return 200;
        }
        later(() => {
            stagedModels = [model];
            changed();
        }, pool.isBeforeFirstRequest ? pool.loadMs * startLoadShare : pool.loadMs);
        return 202;
    }

    function open(group) {
        if (group.rank !== 0 || group.state !== "ready") {
            return group.state === "open" ? 200 : 409;
        }
        later(() => group.state === "ready" && setState(group, "open"), pool.formMs);
        return 202;
    }

    function close(group, closeMode) {
        if (group.state !== "open" && group.state !== "closing") {
            return group.state === "ready" ? 200 : 409;
        }
        if (closeMode === "preempt") {
            cutAnswers();
        }
        group.state = answers.size === 0 ? "ready" : "closing";
        return 202;
    }

    function leave() {
        cutAnswers();
        membership = undefined;
        return 202;
    }

    function execute(order) {
        if (order.operation === "join") {
            return join(order);
        }
        if (order.operation === "stage") {
            return stage(order);
        }
        const isMember = membership?.name === order.group && membership.epoch === order.epoch;
        if (!isMember) {
            return order.operation === "leave" ? 200 : 409;
        }
        switch (order.operation) {
            case "open":
                return open(membership);
            case "close":
                return close(membership, order.closeMode);
            case "leave":
                return leave();
            default:
                return 400;
        }
    }

    function cutAnswers() {
        answers.forEach(response => response.socket?.resetAndDestroy());
        answers.clear();
    }

    /** The member that keeps the group from moving: one that has died, left or joined another group. */
    function missingMember() {
        return membership.members.find(memberId => {
            const other = pool.members.get(memberId);
            return other === undefined || other.membership?.name !== membership.name || other.membership.epoch !== membership.epoch;
        });
    }

    /** Work that depends on a lost member stalls, and after `stallMs` the group is broken. */
    function checkMoving() {
        const isServing = membership?.rank === 0 && (membership.state === "open" || membership.state === "closing");
        if (!isServing || missingMember() === undefined) {
            standsStillSinceMs = undefined;
            return;
        }
        standsStillSinceMs ??= performance.now();
        if (performance.now() - standsStillSinceMs > pool.stallMs) {
            cutAnswers();
            setState(membership, "broken");
        }
    }

    function refuse(response, status, headers) {
        const atServer = membership === undefined ? id : missingMember() ?? id;
        response.writeHead(status, { ...headers, "At-Server": atServer, ...status === 503 ? { "Zinnialanding-Not-Executed": "1" } : {} }).end();
    }

    function serve(message, response, headers, onRun) {
        pool.isBeforeFirstRequest = false;
        if (membership?.rank !== 0 || membership.model !== message.headers["zinnialanding-model"]) {
            refuse(response, 421, headers);
            return;
        }
        if (membership.state !== "open") {
            refuse(response, 503, headers);
            return;
        }
        const attemptId = message.headers["zinnialanding-attempt-id"];
        const signature = { "Zinnialanding-Upstream-Signature": `${id}.${attemptId}`, "Content-Type": "text/event-stream" };
        let next = Number(message.headers["last-event-id"] ?? 0) + 1;
        let hasBegun = false;
        answers.add(response);
        const timer = setInterval(() => {
            if (response.destroyed || !answers.has(response)) {
                clearInterval(timer);
                answers.delete(response);
                return;
            }
            if (missingMember() !== undefined) {
                return;
            }
            if (!hasBegun) {
                hasBegun = true;
                onRun();
                response.writeHead(200, { ...headers, ...signature });
            }
            response.write(`id: ${next}\ndata: ${attemptId} ${next}\n\n`);
            if (next++ === eventsPerAnswer) {
                clearInterval(timer);
                answers.delete(response);
                response.end();
                if (membership?.state === "closing" && answers.size === 0) {
                    setState(membership, "ready");
                }
            }
        }, eventMs);
    }

    const moveTimer = setInterval(checkMoving, moveCheckMs);
    const engine = {
        id,
        get membership() {
            return membership;
        },
        execute,
        serve,
        statement() {
            const group = membership && { name: membership.name, epoch: membership.epoch, rank: membership.rank, state: membership.state };
            const models = lastModel === undefined ? [] : [{ name: lastModel, version: 1, adapters: [] }];
            return { domain, stage: "mixed", staged: stagedModels, models, ...group === undefined ? {} : { group } };
        },
        onChanged(callback) {
            changed = callback;
        },
        /** Ends with its process: the engine holds and does nothing any more. */
        end() {
            clearInterval(moveTimer);
            timers.forEach(clearTimeout);
            cutAnswers();
            pool.members.delete(id);
        },
    };
    pool.members.set(id, engine);
    return engine;
}
