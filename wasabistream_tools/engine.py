"""Stand-in for a model engine that batches continuously."""

import itertools
import json
import re
import secrets
import threading
import time
from dataclasses import dataclass, field

from wasabistream.answers import (
    EVENT_STREAM_TYPE,
    LAST_CHUNK,
    chunk,
    http_head,
)
from wasabistream.streams import CallerStream

CRASH_MARK = '[[crash]]'
LENGTH_PATTERN = re.compile(r'\[\[length=(\d+)\]\]')
TAG_PATTERN = re.compile(r'\[\[tag=([\w-]+)\]\]')
DEFAULT_LENGTH_TOKENS = 20
PREFIX_CHARACTERS = 256
STREAM_LIMIT_BYTES = 4 * 1024 * 1024
COLD_SLOWDOWN = 3.0


@dataclass(frozen=True)
class EngineOptions:
    """Hold the sizes and speeds of an engine."""

    models: tuple[str, ...] = ('assistant',)
    adapters: tuple[str, ...] = ()
    memory_tokens: int = 20000
    token_seconds: float = 0.038
    prefill_tokens_per_second: float = 20000
    # Sequences in one batch beyond which every step gets slower.
    full_batch_count: int = 64
    # Sequences that a cold engine bears; more make it fall over.
    cold_limit_count: int = 4
    # Generated tokens after which a cold engine is warm; 0 starts warm.
    warm_up_tokens: int = 0
    restart_seconds: float = 1.0
    checks_fencing: bool = True
    prefix_capacity_count: int = 64


@dataclass(eq=False)
class EngineSequence:
    """Hold one generation in the engine."""

    stream_id: str
    priority: int
    arrival: int
    prompt_tokens: int
    length_tokens: int
    prefix: str
    poison: bool
    output: CallerStream | None
    # Names the request in the text of each token, for history checks.
    tag: str = ''
    generated_count: int = 0
    # Time at which prefill or recomputation ends.
    ready_at_seconds: float = 0
    stalled_since_seconds: float = 0
    texts: list[str] = field(default_factory=list)

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that the sequence holds in memory."""
        return self.prompt_tokens + self.generated_count


@dataclass
class EngineCounts:
    """Count what happened in the engine."""

    preemption_count: int = 0
    stall_seconds: float = 0
    generated_count: int = 0
    crash_count: int = 0
    cancel_count: int = 0
    started: list[str] = field(default_factory=list)
    # Monotonic time and tag of each start, and times of cold overload.
    runs: list[tuple[float, str]] = field(default_factory=list)
    overloads: list[float] = field(default_factory=list)
    orders: list[dict[str, object]] = field(default_factory=list)


class EngineStandIn:
    """Decode sequences in steps within a limited memory."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.counts = EngineCounts()
        self.models = list(options.models)
        self.adapters = list(options.adapters)
        self.role = 'decode'
        self.boot_id = secrets.token_hex(4)
        self._lock = threading.RLock()
        self._arrivals = itertools.count()
        self._running: list[EngineSequence] = []
        self._waiting: list[EngineSequence] = []
        self._prefixes: dict[str, None] = {}
        self._warm_tokens = 0
        self._down_until_seconds = 0.0
        self._fencing = 0
        self.versions: dict[str, str] = {}
        self.stalled = False

    @property
    def down(self) -> bool:
        """Tell whether the engine restarts after a crash."""
        return time.monotonic() < self._down_until_seconds

    @property
    def warm(self) -> bool:
        """Tell whether the engine runs at full speed."""
        return self._warm_tokens >= self.options.warm_up_tokens

    def start(self) -> None:
        """Start the decoding thread."""
        threading.Thread(target=self._run, name='decode', daemon=True).start()

    def add(self, body: dict, output: CallerStream) -> None:
        """Add a generation request."""
        prompt = body['prompt']
        length = LENGTH_PATTERN.search(prompt)
        tag = TAG_PATTERN.search(prompt)
        sequence = EngineSequence(
            stream_id=body['request_id'],
            priority=body['priority'],
            arrival=next(self._arrivals),
            prompt_tokens=body['prompt_tokens'],
            length_tokens=min(
                int(length.group(1)) if length else DEFAULT_LENGTH_TOKENS,
                body['max_tokens'],
            ),
            prefix=prompt[:PREFIX_CHARACTERS],
            poison=CRASH_MARK in prompt,
            output=output,
            tag=tag.group(1) if tag else '',
        )
        output.write(
            http_head(200, EVENT_STREAM_TYPE, {'Transfer-Encoding': 'chunked'})
        )
        with self._lock:
            self.counts.started.append(sequence.stream_id)
            self.counts.runs.append((time.monotonic(), sequence.tag))
            self._waiting.append(sequence)

    def resume(self, stream_id: str, index: int, output: CallerStream) -> bool:
        """Follow a sequence from an index on."""
        with self._lock:
            sequence = self._find(stream_id)
            if sequence is None:
                return False
            output.write(
                http_head(
                    200, EVENT_STREAM_TYPE, {'Transfer-Encoding': 'chunked'}
                )
            )
            for number, text in enumerate(sequence.texts[index:], index):
                output.write(_event(number, text, ''))
            sequence.output = output
            return True

    def cancel(self, stream_id: str) -> None:
        """Drop a sequence and free its memory."""
        with self._lock:
            sequence = self._find(stream_id)
            if sequence is None:
                return
            self.counts.cancel_count += 1
            self._remove(sequence)
            if sequence.output is not None:
                sequence.output.abort('cancelled')

    def execute_order(self, body: dict) -> bool:
        """Carry out an order unless its fencing number is old."""
        with self._lock:
            if self.options.checks_fencing and body['fencing'] < self._fencing:
                return False
            self._fencing = max(self._fencing, body['fencing'])
            self.counts.orders.append(body)
            match body['action']:
                case 'load':
                    self.models = [*{*self.models, body['model']}]
                    self.versions[body['model']] = body.get('version', '')
                case 'unload':
                    self.models = [
                        name for name in self.models if name != body['model']
                    ]
                case 'load_adapter':
                    self.adapters = [*{*self.adapters, body['adapter']}]
                case 'role':
                    self.role = body['role']
            return True

    def make_cold(self) -> None:
        """Return to a cold start without notice."""
        with self._lock:
            self._warm_tokens = 0
            self._prefixes.clear()

    def crash(self) -> None:
        """Lose all sequences and restart after a pause."""
        with self._lock:
            self.counts.crash_count += 1
            self.boot_id = secrets.token_hex(4)
            self._down_until_seconds = (
                time.monotonic() + self.options.restart_seconds
            )
            for sequence in [*self._running, *self._waiting]:
                if sequence.output is not None:
                    sequence.output.abort('crash')
            self._running.clear()
            self._waiting.clear()
            self.make_cold()

    def state(self) -> dict[str, object]:
        """Return the load and contents of the engine."""
        with self._lock:
            return {
                'memory_used_tokens': self._used_tokens(),
                'memory_capacity_tokens': self.options.memory_tokens,
                'running': len(self._running),
                'waiting': len(self._waiting),
                'models': self.models,
                'adapters': self.adapters,
                'role': self.role,
                'boot_id': self.boot_id,
                'fencing': self._fencing,
                'versions': self.versions,
                'prefixes': list(self._prefixes),
                'preemption_count': self.counts.preemption_count,
                'stall_seconds': self._stall_seconds(),
                'generated_count': self.counts.generated_count,
                'crash_count': self.counts.crash_count,
                'cancel_count': self.counts.cancel_count,
                'started_count': len(self.counts.started),
                'warm': self.warm,
                'down': self.down,
            }

    def _run(self) -> None:
        next_step = time.monotonic()
        while True:
            with self._lock:
                if not self.stalled and not self.down:
                    self._step()
                next_step += self._step_seconds()
            now = time.monotonic()
            if next_step < now:
                next_step = now
            time.sleep(next_step - now)

    def _step_seconds(self) -> float:
        batch_ratio = len(self._running) / self.options.full_batch_count
        slowdown = max(1.0, batch_ratio)
        if not self.warm:
            slowdown *= COLD_SLOWDOWN
        return self.options.token_seconds * slowdown

    def _step(self) -> None:
        self._admit()
        if not self.warm and len(self._running) > self.options.cold_limit_count:
            self.counts.overloads.append(time.monotonic())
            self.crash()
            return
        now = time.monotonic()
        for sequence in list(self._running):
            if sequence not in self._running or sequence.ready_at_seconds > now:
                continue
            if sequence.poison:
                self.crash()
                return
            self._make_room(sequence)
            if sequence in self._running:
                self._emit(sequence)

    def _admit(self) -> None:
        self._waiting.sort(key=_rank)
        while self._waiting:
            sequence = self._waiting[0]
            room = self.options.memory_tokens - self._used_tokens()
            if self._running and sequence.memory_tokens >= room:
                return
            self._waiting.pop(0)
            now = time.monotonic()
            self._end_stall(sequence)
            sequence.ready_at_seconds = now + self._prefill_seconds(sequence)
            self._running.append(sequence)

    def _end_stall(self, sequence: EngineSequence) -> None:
        if sequence.stalled_since_seconds:
            self.counts.stall_seconds += (
                time.monotonic() - sequence.stalled_since_seconds
            )
            sequence.stalled_since_seconds = 0

    def _prefill_seconds(self, sequence: EngineSequence) -> float:
        tokens = sequence.memory_tokens
        if sequence.prefix in self._prefixes:
            tokens = max(tokens - PREFIX_CHARACTERS // 4, 1)
        self._prefixes.pop(sequence.prefix, None)
        self._prefixes[sequence.prefix] = None
        if len(self._prefixes) > self.options.prefix_capacity_count:
            self._prefixes.pop(next(iter(self._prefixes)))
        return tokens / self.options.prefill_tokens_per_second

    def _make_room(self, sequence: EngineSequence) -> None:
        while (
            self._used_tokens() >= self.options.memory_tokens
            and len(self._running) > 1
        ):
            victim = max(self._running, key=_rank)
            self._running.remove(victim)
            self._waiting.append(victim)
            victim.stalled_since_seconds = time.monotonic()
            self.counts.preemption_count += 1
            if victim is sequence:
                return

    def _emit(self, sequence: EngineSequence) -> None:
        index = sequence.generated_count
        sequence.generated_count += 1
        self._warm_tokens += 1
        self.counts.generated_count += 1
        text = f'{index} '
        if sequence.tag:
            generation = f'{self.boot_id}.{sequence.arrival}'
            text = f'{sequence.tag}/{generation}/{index} '
        sequence.texts.append(text)
        done = sequence.generated_count >= sequence.length_tokens
        output = sequence.output
        if output is not None:
            output.write(_event(index, text, 'stop' if done else ''))
        if done:
            self._remove(sequence)
            if output is not None:
                output.write(chunk(b'data: [DONE]\n\n') + LAST_CHUNK)
                output.finish()

    def _stall_seconds(self) -> float:
        # Includes sequences that stand still now or were cancelled so.
        now = time.monotonic()
        return self.counts.stall_seconds + sum(
            now - item.stalled_since_seconds
            for item in self._waiting
            if item.stalled_since_seconds
        )

    def _used_tokens(self) -> int:
        return sum(item.memory_tokens for item in self._running)

    def _find(self, stream_id: str) -> EngineSequence | None:
        for sequence in [*self._running, *self._waiting]:
            if sequence.stream_id == stream_id:
                return sequence
        return None

    def _remove(self, sequence: EngineSequence) -> None:
        if sequence in self._running:
            self._running.remove(sequence)
        if sequence in self._waiting:
            self._waiting.remove(sequence)
            self._end_stall(sequence)


def _rank(sequence: EngineSequence) -> tuple[int, int]:
    return (sequence.priority, sequence.arrival)


def _event(index: int, text: str, finish_reason: str) -> bytes:
    choice = {'index': 0, 'text': text, 'finish_reason': finish_reason or None}
    body = json.dumps({'sequence': index, 'choices': [choice]})
    return chunk(f'data: {body}\n\n'.encode())
