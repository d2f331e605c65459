/** The load tool, which runs scenarios of online and batch load and checks their results. */
@NullMarked
package io.hawthornlb.standin.load;

import org.jspecify.annotations.NullMarked;
