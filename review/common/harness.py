"""Common parts of the cases: processes of the project, a record, and HTTP/1.1 over plain sockets.

Only the standard library is used. Every address is a loopback address.
"""

import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGUN = time.monotonic()


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """Lines with the time since the start, written to a file."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._lock = threading.Lock()

    def line(self, text):
        with self._lock:
            self._file.write("%8.3f %s\n" % (time.monotonic() - BEGUN, text))
            self._file.flush()


def free_port():
    """Returns a loopback port that nobody listens on, for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def run_command():
    """Returns `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as deploy:
        found = re.search(r'^run = "(.*)"$', deploy.read(), re.M)
    if not found:
        raise CannotRun("the deploy file has no `run`")
    return found.group(1)


class Program:
    """A process of the project, started with `run` of the deploy file and further arguments."""

    def __init__(self, arguments, environment, folder, name="dewrun"):
        self.log = os.path.join(folder, name + ".log")
        keep = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", (run_command() + " " + " ".join(arguments)).strip()],
                cwd=ROOT, env=dict(keep, **environment), stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def has_ended(self):
        return self.process.poll() is not None

    def end(self):
        if not self.has_ended():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    def log_text(self):
        with open(self.log, errors="replace") as log:
            return log.read()


def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun(what)


def accepts(port):
    try:
        socket.create_connection(("127.0.0.1", port), 0.2).close()
        return True
    except OSError:
        return False


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _more(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError("the connection ended within a message" if self.buffer else "the connection ended")
        self.buffer += data

    def head(self):
        """Returns the first line and the headers, with names in lower case."""
        while b"\r\n\r\n" not in self.buffer:
            self._more()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def body(self, headers):
        """Returns the body that the headers announce; raises EOFError if it is cut."""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                while b"\r\n" not in self.buffer:
                    self._more()
                size, self.buffer = self.buffer.split(b"\r\n", 1)
                size = int(size.split(b";")[0], 16)
                while len(self.buffer) < size + 2:
                    self._more()
                body += self.buffer[:size]
                self.buffer = self.buffer[size + 2:]
                if size == 0:
                    return body
        length = int(headers.get("content-length", "0"))
        while len(self.buffer) < length:
            self._more()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return body


class Server:
    """Accepts connections and serves each on a thread: `serve(sock)` until it returns."""

    def __init__(self, serve, port=0):
        self.serve = serve
        self.listener = None
        self.port = port
        self.connections = set()
        self.lock = threading.Lock()
        self.open()

    def open(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(128)
        self.port = listener.getsockname()[1]
        self.listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    def _accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            if listener is not self.listener:
                sock.close()
                return
            with self.lock:
                self.connections.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.serve(sock)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(sock)
            sock.close()

    def crash(self):
        """Does what the end of its process does: the port refuses, open connections are reset."""
        listener, self.listener = self.listener, None
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        with self.lock:
            for sock in self.connections:
                reset(sock)


def reset(sock):
    """Closes a connection with a reset, also while another thread reads from it."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.shutdown(socket.SHUT_RD)
        sock.close()
    except OSError:
        pass


def play(path, case):
    """Runs `case(record, scratch, programs)` with a record at `path`. The case returns the list of breaks of
    the rule. Ends all processes, and exits: 1 for a break, 0 for none, 2 if the case could not be played."""
    record = Record(path)
    programs = []

    def overdue():
        record.line("not played: longer than 110 s")
        for program in programs:
            program.end()
        os._exit(2)

    timer = threading.Timer(110, overdue)
    timer.daemon = True
    timer.start()
    code = 2
    record.line("case %s, TROUBLE=%d" % (os.path.basename(os.path.dirname(path)), TROUBLE))
    with tempfile.TemporaryDirectory() as scratch:
        try:
            breaks = case(record, scratch, programs)
            for text in breaks:
                record.line("BROKEN: " + text)
            if not breaks:
                record.line("held")
            code = 1 if breaks else 0
        except CannotRun as why:
            record.line("not played: %s" % why)
        except Exception as why:  # A fault of the case is no result.
            record.line("not played: %r" % why)
        finally:
            for program in programs:
                program.end()
                for line in program.log_text().splitlines()[-60:]:
                    record.line("log of the program: " + line)
    sys.stdout.write({0: "held\n", 1: "BROKEN\n", 2: "not played\n"}[code])
    sys.stdout.flush()
    os._exit(code)
