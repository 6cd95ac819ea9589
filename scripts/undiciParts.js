// What the bundled program uses of undici: clients of one address, agents, and their calls.
import api from "undici/lib/api/index.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";

Object.assign(Dispatcher.prototype, api);
export { default as Agent } from "undici/lib/dispatcher/agent.js";
export { default as Client } from "undici/lib/dispatcher/client.js";
