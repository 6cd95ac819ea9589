/**
 * Composes the roles of a daemon that serves a published site and stops them gracefully.
 *
 * @module
 */

import { createServer } from "node:http";
import { asFunction, asValue, createContainer, InjectionMode } from "awilix";
import type { SiteSettings } from "./config/index.js";
import { type ConsensusNode, createReplicatedLog, diskOperations, type SettingsPeer } from "./consensus/index.js";
import { createGateway, type Gateway, type HeaderNames } from "./gateway/index.js";
import { createPeerConnections, createRpcServer, type RpcServer, splitAddress } from "./rpc/index.js";
import { startListening } from "./http/index.js";
import type { SiteDialect } from "./site/index.js";
import {
    createDisklessControl, createSiteControl, type EngineClient, type DisklessControl, noHints, readHints, type SiteControl,
    type UpstreamInquirer,
} from "./siteControl/index.js";
import { type BoundedOutput, createBoundedOutput, createLogger, createSiteMetrics, type Logger, type SiteMetrics } from "./telemetry/index.js";

/** Adapts the daemon to a platform: its configuration format, its header names and its APIs. */
export interface PlatformAdapter {
    readonly dialect: SiteDialect;
    readonly headerNames: HeaderNames;
    createEngineClient(): EngineClient & UpstreamInquirer;
    /** Serves the calls of upstreams and operators. Resolves to a function that stops the server. */
    serveControl(address: string, control: SiteControl, logger: Logger): Promise<() => Promise<void>>;
    /** Redirects the calls of upstreams and operators to voters at the same port. Resolves to a function that stops the server. */
    serveRedirects(address: string, disklessControl: DisklessControl): Promise<() => Promise<void>>;
    /** Serves the load balancer's readiness checks. Resolves to a function that stops the server. */
    serveReadiness(address: string, isReady: () => boolean): Promise<() => Promise<void>>;
}

export interface SiteDaemon {
    /** Applies the settings that may change at run time: the addresses of the control daemons. */
    reload(settings: SiteSettings): void;
    /** States why the settings file can't be used; without findings, that it can be used again. */
    reportSettingsFile(findings: readonly string[]): void;
    readonly logger: Logger;
    /** Resolves once the log lines so far are written, or after a short time. */
    flushLog(): Promise<void>;
    stop(): Promise<void>;
}

/** Part of the stop timeout that is reserved for the final writes. */
const stopMarginMs = 700;

/** Time allowed for sending the last frames of the feed. */
const feedDrainTimeoutMs = 300;
/** Time allowed for writing the last log lines. */
const logFlushTimeoutMs = 200;

interface Cradle {
    settings: SiteSettings;
    output: BoundedOutput;
    logger: Logger;
    metrics: SiteMetrics;
    gateway: Promise<Gateway>;
    log: Promise<ConsensusNode>;
}

/** Starts the roles that the settings name. */
export async function createSiteDaemon(settings: SiteSettings, platform: PlatformAdapter): Promise<SiteDaemon> {
    const { daemon, listen, control: controlSettings } = settings;
    const container = createContainer<Cradle>({ injectionMode: InjectionMode.PROXY, strict: true });
    container.register({
        settings: asValue(settings),
        output: asFunction(() => createBoundedOutput(1, count =>
            `${JSON.stringify({ daemonId: daemon.id, level: "warn", message: "log lines left out", count })}\n`)).singleton(),
        logger: asFunction(({ output }: Cradle) => createLogger(daemon.logLevel, daemon.id, output.stream)).singleton(),
        metrics: asFunction(({ output }: Cradle) => {
            const metrics = createSiteMetrics();
            metrics.registerGauge("zinnialanding_log_lines_left_out", () => output.droppedLines);
            return metrics;
        }).singleton(),
        gateway: asFunction(({ logger, metrics }: Cradle) => createGateway({
            daemonId: daemon.id, dataCentre: daemon.dataCentre, callerAddress: listen.callers!,
            controlAddresses: controlRpcAddresses(settings), dialect: platform.dialect, headerNames: platform.headerNames,
            retries: settings.repeats, overloadMode: settings.overload.mode, heartbeatMs: controlSettings.heartbeatMs,
            memoryLimitMb: settings.memory?.limitMb, logger, metrics,
        })).singleton(),
        log: asFunction(({ logger }: Cradle) => createReplicatedLog({
            voterId: hostOf(listen.rpc!), address: listen.rpc!, dataFolder: daemon.dataFolder,
            peers: consensusPeers(settings),
            mayForm: controlSettings.firstStart, isOpen: true, toleratedDiskLosses: controlSettings.toleratedDiskLosses,
            logger: line => logger.info(line),
        })).singleton(),
    });
    const { logger, metrics, output } = container.cradle;
    const stopHooks: (() => Promise<void>)[] = [];
    let settingsFindings: readonly string[] = [];
    metrics.registerGauge("zinnialanding_settings_file_unusable", () => settingsFindings.length === 0 ? 0 : 1);
    const isEntry = daemon.roles.includes("entry");
    logger.info("starting", { roles: daemon.roles, dataCentre: daemon.dataCentre });

    const controlLog = daemon.roles.includes("control") ? await container.cradle.log : undefined;
    if (controlLog !== undefined) {
        stopHooks.push(daemon.dataFolder === undefined ? await startDisklessControl() : await startControl(daemon.dataFolder));
    }
    const gateway = isEntry ? await container.cradle.gateway : undefined;
    if (gateway !== undefined) {
        const stopReadiness = await platform.serveReadiness(listen.ready!, () => gateway.isReady);
        stopHooks.push(async () => {
            await gateway.stop(daemon.stopS * 1_000 - stopMarginMs);
            await stopReadiness();
        });
    }
    if (listen.metrics !== undefined) {
        stopHooks.push(await serveText(listen.metrics, () => metrics.text(), metrics.contentType));
    }
    logger.info("started", { tookMs: Math.round(performance.now()) });

    async function startControl(folder: string): Promise<() => Promise<void>> {
        const log = await container.cradle.log;
        const connections = createPeerConnections();
        const remembered = controlSettings.firstStart ? noHints : await readHints(diskOperations, folder, logger);
        const control = createSiteControl({
            daemonId: daemon.id, dataCentre: daemon.dataCentre, address: listen.rpc!, log, dialect: platform.dialect,
            engines: platform.createEngineClient(), memory: { files: diskOperations, folder, remembered }, connections, logger, metrics,
            isFirstStart: controlSettings.firstStart, heartbeatMs: controlSettings.heartbeatMs,
            overloadMode: settings.overload.mode,
        });
        const rpc: RpcServer = await createRpcServer(listen.rpc!, router => {
            log.routes(router);
            control.feed.routes(router);
        });
        control.start();
        const stopApi = await platform.serveControl(listen.control!, control, logger);
        return async () => {
            // The API stops before the log, so that pending changes are answered, and before the feed, so that entries receive every
            // acknowledged change.
            await stopApi();
            await log.stop();
            control.stop();
            await Promise.race([rpc.stop(), new Promise(resolve => setTimeout(resolve, feedDrainTimeoutMs))]);
            connections.closeAll();
            void rpc.stop(true);
        };
    }

    async function startDisklessControl(): Promise<() => Promise<void>> {
        const log = await container.cradle.log;
        const disklessControl = createDisklessControl(log, daemon.dataCentre);
        const rpc = await createRpcServer(listen.rpc!, router => {
            log.routes(router);
            disklessControl.feed.routes(router);
        });
        disklessControl.start();
        const stopRedirects = await platform.serveRedirects(listen.control!, disklessControl);
        return async () => {
            await log.stop();
            disklessControl.stop();
            await stopRedirects();
            await rpc.stop(true);
        };
    }

    return {
        reload(newSettings) {
            logger.info("settings read again", { seeds: newSettings.control.seeds });
            gateway?.addControlAddresses(controlRpcAddresses(newSettings));
            controlLog?.updateSeeds(consensusPeers(newSettings));
        },
        reportSettingsFile(findings) {
            settingsFindings = findings;
            if (findings.length === 0) {
                logger.info("settings file can be used again");
                return;
            }
            logger.warn("settings file can't be used; the settings in force stay", { findings });
        },
        logger,
        flushLog: () => output.flush(logFlushTimeoutMs),
        async stop() {
            logger.info("stopping on request");
            await Promise.all(stopHooks.map(hook => hook()));
            logger.info("stopped");
            await output.flush(logFlushTimeoutMs);
        },
    };
}

function hostOf(address: string): string {
    return address.slice(0, address.lastIndexOf(":"));
}

/** Returns the addresses at which other daemons reach the control daemons named in the settings. */
function controlRpcAddresses(settings: SiteSettings): string[] {
    return settings.control.seeds.map(address => `${hostOf(address)}:${settings.control.rpcPort}`);
}

/** Returns the control daemons named in the settings as peers of the replicated log. */
function consensusPeers(settings: SiteSettings): SettingsPeer[] {
    return controlRpcAddresses(settings).map(address => ({ id: hostOf(address), address }));
}

/** Serves the rendered text at every path. */
async function serveText(address: string, renderText: () => Promise<string>, contentType: string): Promise<() => Promise<void>> {
    const server = createServer((_request, response) => {
        renderText().then(
            body => response.writeHead(200, { "content-type": contentType }).end(body),
            (error: Error) => response.writeHead(500).end(error.message),
        );
    });
    await startListening(server, splitAddress(address));
    return () => new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}
