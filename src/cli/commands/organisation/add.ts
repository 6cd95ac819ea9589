import { Args, Flags } from "@oclif/core";
import { configurationViewSchema } from "../../api.js";
import { ChangeCommand } from "../../baseCommand.js";
import { UsageError } from "../../errors.js";
import { hashKey, readOrCreateKey } from "../../keys.js";

/** Adds an organisation with its first key. */
export default class OrganisationAdd extends ChangeCommand {
    static override summary = "Add an organisation and show its key, once.";
    static override examples = ["<%= config.bin %> organisation add studio-maipu --home-region scl --key-file studio-maipu.key"];
    static override args = { name: Args.string({ description: "organisation", required: true }) };
    static override flags = {
        "home-region": Flags.string({ description: "region that stores the claims of its requests", required: true }),
        "key-file": Flags.string({ description: "file for the key; an existing file is read, so that a resend sends the same key" }),
    };

    async run() {
        const { args, flags } = await this.parse(OrganisationAdd);
        const key = readOrCreateKey(flags["key-file"]);
        const organisation = { name: args.name, keyHashes: [hashKey(key)], homeRegion: flags["home-region"] };
        const report = await this.withClient(flags, async client => {
            const view = await client.get("/v1/configuration", configurationViewSchema);
            const existing = view.configuration.organisations.find(item => item.name === args.name);
            if (existing !== undefined && !existing.keyHashes.includes(hashKey(key))) {
                throw new UsageError(`organisation ${args.name} exists; use rotate-key for a new key`);
            }
            return this.change(client, flags, view.version, [{ kind: "set-organisation", organisation }]);
        });
        this.log(`key: ${key}`);
        return { ...report, key };
    }
}
