/** CBOR as the protocol uses it. */
import { decode, encode } from 'cborg';

/** Bytes are no CBOR of the protocol's kind. */
export class WireError extends Error {}

/** Encodes a message. */
export const encodeCbor = (value: unknown): Uint8Array => encode(value);

/** Decodes a message. Strict: trailing bytes, duplicate keys, keys that are not text, NaN and infinity are errors. */
export const decodeCbor = (bytes: Uint8Array): unknown => {
  try {
    return decode(bytes, {
      rejectDuplicateMapKeys: true,
      allowNaN: false,
      allowInfinity: false,
      allowUndefined: false,
    });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new WireError(`not CBOR: ${reason}`, { cause: error });
  }
};
