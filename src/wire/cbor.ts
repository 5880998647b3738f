/** Encodes and decodes messages in the CBOR subset of the protocol. */
import { decode, encode } from 'cborg';

/** Thrown if bytes are not valid CBOR or not within the subset that the protocol allows. */
export class WireError extends Error {}

/** Encodes a message as CBOR. */
export const encodeCbor = (value: unknown): Uint8Array => encode(value);

/**
 * Decodes a message; throws a `WireError` if it is invalid. Decoding is strict: trailing bytes, duplicate keys, keys
 * that are not text, undefined, NaN and infinity are errors.
 */
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
