/** The scheduler, step loop, prefix cache and controllers of the engine stand-in. */
@NullMarked
package io.hawthornlb.standin.engine.support;

import org.jspecify.annotations.NullMarked;
