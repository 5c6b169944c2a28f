package org.peridotcourse.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.settings.SettingFault;
import org.peridotcourse.daemon.settings.SettingFaults;
import org.peridotcourse.daemon.settings.Settings;
import org.peridotcourse.daemon.settings.SettingsReader;

/** Reports every fault of settings files and rows files at once. It holds no state. */
final class CheckCommand implements Subcommand {
    @Override
    public ExitCode run(CommandLine line, Console console) throws CtlException {
        if (!line.hasOption("settings") && !line.hasOption("rows") || line.getArgs().length > 0) {
            throw new CtlException(CtlFailure.usage("--settings or --rows is required"));
        }
        List<SettingFault> faults = new ArrayList<>();
        for (String file : files(line, "settings")) {
            Result<Settings> read = SettingsReader.read(Path.of(file));
            if (read.failure().orElse(null) instanceof SettingFaults settingFaults) {
                faults.addAll(settingFaults.faults());
            }
        }
        for (String file : files(line, "rows")) {
            faults.addAll(RowsFile.check(Path.of(file)));
        }
        report(faults, console);
        return faults.isEmpty() ? ExitCode.OK : ExitCode.FAULTS;
    }

    private static void report(List<SettingFault> faults, Console console) {
        if (!console.isJson()) {
            faults.forEach(fault -> console.printLine(fault.toLine()));
            console.printLine(faults.isEmpty() ? "no faults" : "faults: " + faults.size());
            return;
        }
        ArrayNode list = JsonHttp.MAPPER.createArrayNode();
        for (SettingFault fault : faults) {
            list.addObject()
                    .put("file", fault.file())
                    .put("section", fault.section())
                    .put("key", fault.key())
                    .put("found", fault.found())
                    .put("allowed", fault.allowed());
        }
        console.printValue(list);
    }

    private static List<String> files(CommandLine line, String option) {
        String[] files = line.getOptionValues(option);
        return files == null ? List.of() : List.of(files);
    }
}
