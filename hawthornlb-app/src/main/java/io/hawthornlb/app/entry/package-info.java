/** The process of an entry instance: its decision loop, its adapters, and their wiring. */
@NullMarked
package io.hawthornlb.app.entry;

import org.jspecify.annotations.NullMarked;
