/** Enumerates all runs of a procedure that makes a bounded number of choices. */

/** Chooses one of `count` options; returns its index. */
export type Choose = (count: number) => number;

/** Runs the procedure once for each sequence of choices; returns the number of runs. */
export async function forEachChoice(run: (choose: Choose) => Promise<void>): Promise<number> {
  const path: { chosen: number; readonly count: number }[] = [];
  for (let runs = 1; ; runs++) {
    let depth = 0;
    const choose: Choose = (count) => {
      if (depth === path.length) path.push({ chosen: 0, count });
      return path[depth++]!.chosen;
    };
    await run(choose);
    while (path.length > 0 && path.at(-1)!.chosen + 1 >= path.at(-1)!.count) path.pop();
    if (path.length === 0) return runs;
    path.at(-1)!.chosen++;
  }
}
