/** Encodes one value in the different ways that RFC 8949 allows for it. */

/** How a value is spelled. */
export interface Spelling {
  /** bytes of each integer's argument; 0: the shortest form, or as floating point if `integersAsFloats` */
  readonly integerBytes?: 0 | 1 | 2 | 4 | 8;
  /** bytes of each floating-point number that it can represent exactly; else 8 */
  readonly floatBytes?: 2 | 4 | 8;
  readonly integersAsFloats?: boolean;
  /** whether maps and lists end by a break */
  readonly indefiniteContainers?: boolean;
  /** characters of each chunk of a text that ends by a break; 0: texts have a definite length */
  readonly textChunk?: number;
  readonly reverseKeys?: boolean;
  /** bytes of the lengths of texts, maps and lists */
  readonly lengthBytes?: 0 | 1 | 2 | 4 | 8;
}

const MAJOR = { unsigned: 0, negative: 1, text: 3, list: 4, map: 5 } as const;
const BREAK = 0xff;
const INDEFINITE = 31;
const SIMPLE = { false: 0xf4, true: 0xf5, null: 0xf6 } as const;
/** The additional information that says how many bytes the argument has. */
const INFORMATION_BY_BYTES: Readonly<Record<number, number>> = { 1: 24, 2: 25, 4: 26, 8: 27 };
/** Largest integer that each half-precision number below it can represent. */
const HALF_LIMIT = 2048;

const shortestBytes = (argument: number): number => {
  if (argument < 24) return 0;
  return [1, 2, 4].find((bytes) => argument < 256 ** bytes) ?? 8;
};

const withArgument = (major: number, argument: number, bytes = 0): number[] => {
  const length = Math.max(bytes, shortestBytes(argument));
  if (length === 0) return [major * 32 + argument];
  const digits = Array.from({ length }, (_, i) =>
    Number((BigInt(argument) >> BigInt(8 * (length - 1 - i))) & 255n),
  );
  return [major * 32 + INFORMATION_BY_BYTES[length]!, ...digits];
};

/** Returns an integer below 2048 as a half-precision number. */
const halfBits = (value: number): number => {
  if (value === 0) return 0;
  const exponent = Math.floor(Math.log2(value));
  return (exponent + 15) * 1024 + (value / 2 ** exponent - 1) * 1024;
};

const float = (value: number, bytes: 2 | 4 | 8): number[] => {
  const view = new DataView(new ArrayBuffer(8));
  if (bytes === 2 && Number.isInteger(value) && value >= 0 && value < HALF_LIMIT) {
    view.setUint16(0, halfBits(value));
    return [0xf9, ...new Uint8Array(view.buffer, 0, 2)];
  }
  if (bytes <= 4 && Math.fround(value) === value) {
    view.setFloat32(0, value);
    return [0xfa, ...new Uint8Array(view.buffer, 0, 4)];
  }
  view.setFloat64(0, value);
  return [0xfb, ...new Uint8Array(view.buffer)];
};

const number = (value: number, spelling: Spelling): number[] => {
  const { integerBytes = 0, integersAsFloats = false, floatBytes = 8 } = spelling;
  if (!Number.isSafeInteger(value) || integersAsFloats) return float(value, floatBytes);
  return value < 0
    ? withArgument(MAJOR.negative, -1 - value, integerBytes)
    : withArgument(MAJOR.unsigned, value, integerBytes);
};

const text = (value: string, { textChunk = 0, lengthBytes }: Spelling): number[] => {
  const definite = (part: string) => {
    const bytes = Buffer.from(part);
    return [...withArgument(MAJOR.text, bytes.length, lengthBytes), ...bytes];
  };
  if (textChunk === 0) return definite(value);
  const characters = [...value];
  const encoded: number[] = [];
  for (let at = 0; at < characters.length; at += textChunk) {
    encoded.push(...definite(characters.slice(at, at + textChunk).join('')));
  }
  return [MAJOR.text * 32 + INDEFINITE, ...encoded, BREAK];
};

const container = (major: number, size: number, items: number[], spelling: Spelling): number[] =>
  spelling.indefiniteContainers === true
    ? [major * 32 + INDEFINITE, ...items, BREAK]
    : [...withArgument(major, size, spelling.lengthBytes), ...items];

const spell = (value: unknown, spelling: Spelling): number[] => {
  if (value === null) return [SIMPLE.null];
  if (typeof value === 'boolean') return [value ? SIMPLE.true : SIMPLE.false];
  if (typeof value === 'number') return number(value, spelling);
  if (typeof value === 'string') return text(value, spelling);
  if (Array.isArray(value)) {
    const items = value.flatMap((item) => spell(item, spelling));
    return container(MAJOR.list, value.length, items, spelling);
  }
  const entries = Object.entries(value as Record<string, unknown>);
  if (spelling.reverseKeys === true) entries.reverse();
  const items = entries.flatMap(([key, item]) => [
    ...text(key, spelling),
    ...spell(item, spelling),
  ]);
  return container(MAJOR.map, entries.length, items, spelling);
};

/** Returns the CBOR form of a value of the protocol's subset in the given spelling. */
export const spellCbor = (value: unknown, spelling: Spelling): Buffer =>
  Buffer.from(spell(value, spelling));
