import { formatConfiguration } from "../../../config/index.js";
import { configurationViewSchema } from "../../api.js";
import { OperatorsCommand } from "../../baseCommand.js";

/** Shows the accepted configuration. */
export default class ConfigShow extends OperatorsCommand {
    static override summary = "Show the accepted configuration as a file that can be applied again.";
    static override examples = ["<%= config.bin %> config show > site.ini"];

    async run() {
        const { flags } = await this.parse(ConfigShow);
        const view = await this.withClient(flags, client => client.get("/v1/configuration", configurationViewSchema));
        const pending = view.pending ?? [];
        const waitingFor = pending.length === 0 ? "" : `; waiting for ${pending.join(", ")}`;
        this.log(`; version ${view.version}, in force everywhere: ${view.inForceVersion ?? "unknown"}${waitingFor}\n${formatConfiguration(view.configuration)}`);
        return view;
    }
}
