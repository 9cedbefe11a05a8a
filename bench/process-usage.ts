import {readFileSync} from 'node:fs';

/** Clock ticks per second in `/proc` on Linux. */
const TICKS_PER_SECOND = 100;

/** Resource use of a process, as reported by the kernel. */
export interface ProcessUsage {
  /** CPU time in ms, user and system. */
  cpuMs: number;
  /** Resident memory in MB. */
  residentMb: number;
}

/** Reads the resource use of a process from `/proc`; throws if it is gone. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const resident = /VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? '0';
  return {
    cpuMs: (ticks * 1000) / TICKS_PER_SECOND,
    residentMb: Number(resident) / 1024,
  };
}
