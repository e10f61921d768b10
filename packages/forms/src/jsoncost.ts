const BYTES_PER_CHARACTER = 2;
/** Estimated memory of one object or array, of one element or member, and of one member's place in its object. */
const CONTAINER_BYTES = 64;
const ELEMENT_BYTES = 24;
const MEMBER_BYTES = 16;
/** Half of what a string takes beside its characters, as there are two quotes to each. */
const QUOTE_BYTES = 8;
const COMMA = 0x2c;
const COLON = 0x3a;
const QUOTE = 0x22;
const OPENING_BRACKET = 0x5b;
const OPENING_BRACE = 0x7b;

/** Estimates what a JSON text takes once it is parsed, since a short text may describe a great many small values. */
export const JsonCost = {
  /** An upper estimate in bytes. Characters inside strings count as structure too. */
  estimate(text: Uint8Array): number {
    let bytes = text.length * BYTES_PER_CHARACTER;
    for (const character of text) {
      if (character === COMMA) bytes += ELEMENT_BYTES;
      else if (character === QUOTE) bytes += QUOTE_BYTES;
      else if (character === COLON) bytes += MEMBER_BYTES;
      else if (character === OPENING_BRACE || character === OPENING_BRACKET) bytes += CONTAINER_BYTES;
    }
    return bytes;
  },
};
