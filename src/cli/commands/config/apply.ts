import { Args, Flags } from "@oclif/core";
import { checkConfiguration, mergeWithCurrent, readText } from "../../../config/index.js";
import { configurationViewSchema } from "../../api.js";
import { ChangeCommand } from "../../baseCommand.js";
import { FindingsError } from "../../errors.js";

/** Replaces the whole configuration with the content of a file. */
export default class ConfigApply extends ChangeCommand {
    static override summary = "Apply the configuration from a file. Keys and drained marks that the file omits are kept.";
    static override examples = ["<%= config.bin %> config apply samples/cielo-austral/site.ini --wait"];
    static override args = { file: Args.string({ description: "configuration file (INI)", required: true }) };
    static override flags = {
        "expected-version": Flags.integer({ description: "refuse if the configuration is at another version [default: the version just read]" }),
    };

    async run() {
        const { args, flags } = await this.parse(ConfigApply);
        const text = readText(args.file);
        const checked = text.value === undefined ? text : checkConfiguration(args.file, text.value);
        if (checked.value === undefined) {
            throw new FindingsError(checked.findings);
        }
        return this.withClient(flags, async client => {
            const view = await client.get("/v1/configuration", configurationViewSchema);
            const expectedVersion = flags["expected-version"] ?? view.version;
            const configuration = mergeWithCurrent(checked.value, view.configuration);
            return this.change(client, flags, expectedVersion, [{ kind: "replace", configuration }]);
        });
    }
}
