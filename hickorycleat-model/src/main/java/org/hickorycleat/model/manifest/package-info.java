/** The manifest that operators publish, its JSON form and its validation. */
@NullMarked
package org.hickorycleat.model.manifest;

import org.jspecify.annotations.NullMarked;
