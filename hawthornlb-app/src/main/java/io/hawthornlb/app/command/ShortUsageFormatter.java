package io.hawthornlb.app.command;

import com.beust.jcommander.DefaultUsageFormatter;
import com.beust.jcommander.JCommander;
import java.util.Map;

/** Formats help with one line per subcommand; only the help of a command lists its parameters. */
final class ShortUsageFormatter extends DefaultUsageFormatter {

  private static final int NAME_WIDTH = 22;

  private final JCommander commander;

  ShortUsageFormatter(JCommander commander) {
    super(commander);
    this.commander = commander;
  }

  @Override
  public void appendCommands(
      StringBuilder out, int indentCount, int descriptionIndent, String indent) {
    out.append("  Commands:\n");
    append(out, commander, "");
  }

  private static void append(StringBuilder out, JCommander parent, String path) {
    for (Map.Entry<String, JCommander> entry : parent.getCommands().entrySet()) {
      String name = path + entry.getKey();
      JCommander command = entry.getValue();
      if (command.getCommands().isEmpty()) {
        String description = parent.getUsageFormatter().getCommandDescription(entry.getKey());
        String padding = " ".repeat(Math.max(1, NAME_WIDTH - name.length()));
        out.append("    ").append(name).append(padding).append(description).append('\n');
      } else {
        append(out, command, name + " ");
      }
    }
  }
}
