/** Formats plain text tables for the terminal. */

const COLUMN_GAP = '  ';

/** Returns a table of titles and rows, in which each column is as wide as its widest cell. */
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
