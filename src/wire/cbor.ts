/** Encodes and decodes messages in the CBOR subset of the protocol. */
import { decode, encode, Token, Tokenizer, Type, type DecodeOptions } from 'cborg';

/** Thrown if bytes are not valid CBOR or not within the subset that the protocol allows. */
export class WireError extends Error {}

const DECODE_OPTIONS: DecodeOptions = {
  allowIndefinite: true,
  allowBigInt: true,
  rejectDuplicateMapKeys: true,
  allowNaN: false,
  allowInfinity: false,
  allowUndefined: false,
};

/** First byte of a text of indefinite length, which the library does not decode. */
const INDEFINITE_TEXT = 0x7f;

/** Reads texts of indefinite length as the text that their chunks make up. */
class ChunkedTextTokenizer extends Tokenizer {
  override next(): Token {
    return this.data[this._pos] === INDEFINITE_TEXT ? this.#joinChunks() : super.next();
  }

  #joinChunks(): Token {
    const start = this._pos;
    this._pos += 1;
    let text = '';
    while (!this.done()) {
      const chunk = super.next();
      if (Type.equals(chunk.type, Type.break)) {
        return new Token(Type.string, text, this._pos - start);
      }
      if (!Type.equals(chunk.type, Type.string)) throw new Error('a chunk of a text is no text');
      text += String(chunk.value);
    }
    throw new Error('a text has no end');
  }
}

/** Encodes a message as CBOR. */
export const encodeCbor = (value: unknown): Uint8Array => encode(value);

/**
 * Decodes a message; throws a `WireError` if it is invalid. Every well-formed encoding of a value is accepted. Trailing
 * bytes, duplicate keys, keys that are not text, undefined, NaN and infinity are errors.
 */
export const decodeCbor = (bytes: Uint8Array): unknown => {
  try {
    // Most messages have no such byte, and the library's own tokenizer is a little faster.
    if (!bytes.includes(INDEFINITE_TEXT)) return decode(bytes, DECODE_OPTIONS);
    const tokenizer = new ChunkedTextTokenizer(bytes, DECODE_OPTIONS);
    return decode(bytes, { ...DECODE_OPTIONS, tokenizer });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new WireError(`not CBOR: ${reason}`, { cause: error });
  }
};
