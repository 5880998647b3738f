/** Plain text tables for the terminal. */

const COLUMN_GAP = '  ';

/** Rows below their titles, in columns as wide as their widest cell. */
export const formatTable = (
  titles: readonly string[],
  rows: readonly (readonly string[])[],
): string => {
  const lines = [titles, ...rows];
  const widths = titles.map((_, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0)),
  );
  const formatLine = (line: readonly string[]) =>
    line
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join(COLUMN_GAP)
      .trimEnd();
  return `${lines.map(formatLine).join('\n')}\n`;
};
