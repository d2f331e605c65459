/** The command line. */
@NullMarked
package io.hawthornlb.app.command;

import org.jspecify.annotations.NullMarked;
