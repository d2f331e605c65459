package io.hawthornlb.app.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Map;

/** Builds the tree of all commands and command groups. */
final class CommandTree {

  static final String PROGRAM = "hawthornlb";

  private CommandTree() {}

  static JCommander create(Launchers launchers, Map<String, String> environment) {
    JCommander root = new JCommander(new CommandGroup());
    root.setProgramName(PROGRAM);
    add(root, new EntryCommand(launchers.entry()));
    addGroup(root, "settings", List.of(new SettingsCheckCommand()));
    addGroup(
        root,
        "catalogue",
        List.of(
            new CatalogueShowCommand(environment),
            new CatalogueCheckCommand(environment),
            new CataloguePutCommand(environment),
            new CatalogueHistoryCommand(environment)));
    addGroup(
        root,
        "job",
        List.of(
            new JobSubmitCommand(environment),
            new JobStatusCommand(environment),
            new JobResultsCommand(environment),
            new JobCancelCommand(environment)));
    addGroup(root, "key", List.of(new KeyHashCommand()));
    add(root, new ExplainCommand());
    add(root, new StandinCommand(launchers.standin()));
    add(root, new LoadCommand(launchers.load()));
    add(root, new BoundCommand());
    return root;
  }

  private static void add(JCommander parent, Command command) {
    String name = command.getClass().getAnnotation(Parameters.class).commandNames()[0];
    parent.addCommand(name, command);
  }

  private static void addGroup(JCommander parent, String name, List<Command> commands) {
    parent.addCommand(name, new CommandGroup());
    JCommander group = parent.getCommands().get(name);
    commands.forEach(command -> add(group, command));
  }
}
