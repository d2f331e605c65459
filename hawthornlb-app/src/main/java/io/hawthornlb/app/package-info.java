/** Entry point of the program, which connects the command line with the parts that it starts. */
@NullMarked
package io.hawthornlb.app;

import org.jspecify.annotations.NullMarked;
