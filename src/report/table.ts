/** One column of a text table. */
export interface Column<Row> {
  title: string;
  /** Whether values are aligned to the right. */
  numeric?: boolean;
  value: (row: Row) => string;
}

/** Formats a header line and one line per row, with aligned columns. */
export function textTable<Row>(
  columns: ReadonlyArray<Column<Row>>,
  rows: readonly Row[],
): string {
  const lines = [
    columns.map(({title}) => title),
    ...rows.map(row => columns.map(({value}) => value(row))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map(cells => cells[index]?.length ?? 0)),
  );
  return lines
    .map(cells =>
      cells
        .map((cell, index) => {
          const width = widths[index] ?? 0;
          const numeric = columns[index]?.numeric === true;
          return numeric ? cell.padStart(width) : cell.padEnd(width);
        })
        .join('  ')
        .trimEnd(),
    )
    .map(line => `${line}\n`)
    .join('');
}
