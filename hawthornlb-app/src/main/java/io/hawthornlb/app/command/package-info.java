/** The command-line interface: argument parsing, commands and their output. */
@NullMarked
package io.hawthornlb.app.command;

import org.jspecify.annotations.NullMarked;
