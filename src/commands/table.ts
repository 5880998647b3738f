const GAP = '  ';

/** Text in columns, as wide as their widest cell, below their titles. */
export const table = (titles: readonly string[], rows: readonly (readonly string[])[]): string => {
  const lines = [titles, ...rows];
  const widths = titles.map((_, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0)),
  );
  const write = (line: readonly string[]) =>
    line
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join(GAP)
      .trimEnd();
  return `${lines.map(write).join('\n')}\n`;
};
