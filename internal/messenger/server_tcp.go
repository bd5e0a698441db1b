package messenger

func (s *Server) acceptTCP() {
	for {
		c, err := s.tcp.Accept()
		if err != nil {
			return
		}
		c.Close()
	}
}
