package h2

import (
	"golang.org/x/net/http2"

	"docksail/internal/decide/abuse"
)

// handleFrame handles one frame from the peer. An http2.StreamError resets one stream; any other error ends the
// connection.
func (c *Conn) handleFrame(frame http2.Frame) error {
	if !c.settingsReceived {
		if settings, ok := frame.(*http2.SettingsFrame); !ok || settings.IsAck() {
			return connectionError{http2.ErrCodeProtocol, "first frame is no settings"}
		}
	}
	switch f := frame.(type) {
	case *http2.DataFrame:
		return c.handleData(f)
	case *http2.HeadersFrame:
		return c.handleHeaders(f)
	case *http2.ContinuationFrame:
		return c.handleContinuation(f)
	case *http2.SettingsFrame:
		return c.handleSettings(f)
	case *http2.WindowUpdateFrame:
		return c.handleWindowUpdate(f)
	case *http2.RSTStreamFrame:
		return c.handleReset(f)
	case *http2.PingFrame:
		return c.handlePing(f)
	case *http2.GoAwayFrame:
		c.handleGoAway(f)
		return nil
	case *http2.PushPromiseFrame:
		return connectionError{http2.ErrCodeProtocol, "push is not allowed"}
	default: // PRIORITY and unknown types
		return c.checkAbuse(abuse.EmptyFrame)
	}
}

func (c *Conn) handleSettings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		c.handleSettingsAck()
		return nil
	}
	if c.settingsReceived {
		if err := c.checkAbuse(abuse.RepeatedSettings); err != nil {
			return err
		}
	}
	c.settingsReceived = true
	if err := f.ForeachSetting(c.applySetting); err != nil {
		return err
	}
	c.frames.writeSettingsAck()
	c.flushStreams()
	return nil
}

// handleSettingsAck reduces the receive windows of open streams to the configured size, which the peer now uses.
// allocateStream has set them to initialWindow if that is larger.
func (c *Conn) handleSettingsAck() {
	if c.settingsAcked {
		return
	}
	c.settingsAcked = true
	for _, s := range c.streams {
		s.recvWindow -= max(0, initialWindow-int64(c.limits.StreamWindow))
	}
}

// applySetting applies one setting of the peer.
func (c *Conn) applySetting(setting http2.Setting) error {
	if err := setting.Valid(); err != nil {
		return err
	}
	switch setting.ID {
	case http2.SettingInitialWindowSize:
		return c.setPeerInitialWindow(int64(setting.Val))
	case http2.SettingMaxFrameSize:
		c.peerMaxFrameBytes = min(setting.Val, maxFrameBytes)
	case http2.SettingMaxConcurrentStreams:
		c.peerMaxStreams = setting.Val
	case http2.SettingHeaderTableSize:
		c.headerEncoder.SetMaxDynamicTableSizeLimit(min(setting.Val, headerTableBytes))
	default: // other settings do not affect what this end sends
	}
	return nil
}

// setPeerInitialWindow changes the peer's initial window and adjusts the send windows of all streams by the difference.
func (c *Conn) setPeerInitialWindow(window int64) error {
	delta := window - c.peerInitialWindow
	c.peerInitialWindow = window
	for _, s := range c.streams {
		if s.sendWindow += delta; s.sendWindow > maxWindow {
			return connectionError{http2.ErrCodeFlowControl, reasonWindowTooLarge}
		}
	}
	for _, s := range c.sortedStreams() {
		if len(s.pendingOutput) > 0 {
			c.enqueue(s)
		}
	}
	return nil
}

func (c *Conn) handleWindowUpdate(f *http2.WindowUpdateFrame) error {
	if err := c.checkAbuse(abuse.WindowUpdate); err != nil {
		return err
	}
	var err error
	if f.StreamID == 0 {
		err = c.raiseSendWindow(int64(f.Increment))
	} else {
		err = c.raiseStreamSendWindow(f.StreamID, int64(f.Increment))
	}
	if err != nil {
		return err
	}
	c.flushStreams()
	return nil
}

func (c *Conn) raiseSendWindow(increment int64) error {
	if c.sendWindow += increment; c.sendWindow > maxWindow {
		return connectionError{http2.ErrCodeFlowControl, reasonWindowTooLarge}
	}
	return nil
}

func (c *Conn) raiseStreamSendWindow(streamID uint32, increment int64) error {
	s := c.streams[streamID]
	if s == nil {
		return c.checkNotIdle(streamID, "window update on an idle stream")
	}
	if s.sendWindow += increment; s.sendWindow > maxWindow {
		return http2.StreamError{StreamID: streamID, Code: http2.ErrCodeFlowControl}
	}
	if len(s.pendingOutput) > 0 {
		c.enqueue(s)
	}
	return nil
}

func (c *Conn) handleReset(f *http2.RSTStreamFrame) error {
	s := c.streams[f.StreamID]
	if s == nil {
		if err := c.checkNotIdle(f.StreamID, "reset of an idle stream"); err != nil {
			return err
		}
		return c.checkAbuse(abuse.ClosedStreamReset)
	}
	c.peerResetCount++
	c.removeStream(s)
	s.reportReset(f.ErrCode, f.ErrCode == http2.ErrCodeRefusedStream)
	if c.isServer {
		return c.checkAbuse(abuse.StreamReset)
	}
	return nil
}

func (c *Conn) handlePing(f *http2.PingFrame) error {
	if !f.IsAck() {
		if err := c.checkAbuse(abuse.Ping); err != nil {
			return err
		}
		c.frames.writePing(true, f.Data)
		return nil
	}
	switch f.Data {
	case drainPingData:
		if c.draining && !c.finalGoAwaySent {
			c.finalGoAwaySent = true
			c.frames.writeGoAway(c.lastPeerStreamID, http2.ErrCodeNo, nil)
		}
	case keepalivePingData:
		c.handler.PingAcked()
	default:
		return c.checkAbuse(abuse.Ping)
	}
	return nil
}

func (c *Conn) handleGoAway(f *http2.GoAwayFrame) {
	c.goAwayReceived = true
	if !c.isServer {
		for _, s := range c.sortedStreams() {
			if s.active && s.id > f.LastStreamID {
				c.removeStream(s)
				s.reportReset(http2.ErrCodeRefusedStream, true)
			}
		}
	}
	c.handler.GoAwayReceived()
}
