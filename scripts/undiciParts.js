// The subset of undici that the bundled program uses: single-origin clients, agents and their request methods.
import api from "undici/lib/api/index.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";

Object.assign(Dispatcher.prototype, api);
export { default as Agent } from "undici/lib/dispatcher/agent.js";
export { default as Client } from "undici/lib/dispatcher/client.js";
