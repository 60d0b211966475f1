package org.hickorycleat.cli.log;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import joptsimple.NonOptionArgumentSpec;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.hickorycleat.cli.Command;
import org.hickorycleat.cli.CommandFailure;
import org.hickorycleat.cli.CommandOutput;
import org.hickorycleat.model.manifest.Manifest;

/** Validates a manifest without publishing it. */
public final class ValidateCommand implements Command {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final OptionParser mParser = new OptionParser();
    private final NonOptionArgumentSpec<String> mFile = mParser.nonOptions("manifest");

    @Override
    public String name() {
        return "validate";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Validates a manifest and reports all of its errors";
    }

    @Override
    public OptionParser parser() {
        return mParser;
    }

    @Override
    public Either<CommandFailure, CommandOutput> run(OptionSet options) {
        return ManifestFile.read(options, mFile)
                .flatMap(ManifestFile::parse)
                .map(file -> output(file.manifest()));
    }

    private static CommandOutput output(Manifest manifest) {
        ObjectNode json = MAPPER.createObjectNode().put("valid", true);
        json.put("base", manifest.base().value())
                .put("teams", manifest.teams().size())
                .put("services", manifest.services().size())
                .put("jobs", manifest.jobs().size());
        String text =
                String.format(
                        "valid: base %s, %d teams, %d services, %d jobs%n",
                        manifest.base(),
                        manifest.teams().size(),
                        manifest.services().size(),
                        manifest.jobs().size());
        return new CommandOutput(json, text);
    }
}
